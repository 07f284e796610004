//! Orders to a stand-in, with fencing checked or ignored by choice.

use names::Model;
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Load a model, adapter or version.
    Load(Model),
    /// Drop it again.
    Unload(Model),
    /// Change the role.
    ChangeRole(String),
}

/// An order of an operator or of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing number; later holders of the right to give orders have greater ones.
    pub fence: u64,
    /// What is asked for.
    pub task: Task,
}

/// The orders that were carried out, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Orders {
    /// The orders.
    pub done: Vec<Order>,
    /// Number of orders that were refused.
    pub refused: u64,
    #[serde(skip)]
    checks_fencing: bool,
}

impl Orders {
    /// No orders yet; `checks_fencing` tells whether old fencing numbers are refused.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Carries out an order; false when its fencing number is old and that is checked.
    pub fn take(&mut self, order: Order) -> bool {
        let newest = self.done.iter().map(|done| done.fence).max().unwrap_or(0);
        if self.checks_fencing && order.fence < newest {
            self.refused += 1;
            return false;
        }
        self.done.push(order);
        true
    }
}
