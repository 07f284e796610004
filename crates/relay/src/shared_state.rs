//! State that the actors of an instance share.

use std::cell::RefCell;
use std::rc::Rc;

use catalogue::Newest;
use evacuation::{OrderLog, Orders};

/// State that operators change. The log applies commands to it, and the feed distributes it.
#[derive(Clone, Default)]
pub(crate) struct SharedState {
    /// The newest document.
    pub(crate) newest: Rc<RefCell<Newest>>,
    /// Evacuation orders that the log has applied at this instance.
    pub(crate) order_log: Rc<RefCell<OrderLog>>,
    /// Evacuation orders that this instance knows from the log, its disk or other instances.
    pub(crate) orders: Rc<RefCell<Orders>>,
}
