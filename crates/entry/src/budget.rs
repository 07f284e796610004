//! The bytes that all connections together may hold of requests on their way in.

use std::cell::Cell;
use std::rc::Rc;

/// Shared by the connections of one server.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    left: Rc<Cell<usize>>,
}

/// What one connection has taken of the budget; given back when dropped.
#[derive(Debug)]
pub(crate) struct Share {
    budget: Budget,
    taken: usize,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { left: Rc::new(Cell::new(bytes)) }
    }

    pub(crate) fn share(&self) -> Share {
        Share { budget: self.clone(), taken: 0 }
    }
}

impl Share {
    /// Changes what the connection holds to `bytes`; false when the budget does not allow it.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let available = self.budget.left.get() + self.taken;
        if bytes > available {
            return false;
        }
        self.budget.left.set(available - bytes);
        self.taken = bytes;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.taken);
    }
}
