//! Orders to a stand-in, which checks fencing tokens if it is configured to.

use names::Model;
use serde::{Deserialize, Serialize};

/// Task of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Loads a model, adapter or version.
    Load(Model),
    /// Unloads a model, adapter or version.
    Unload(Model),
    /// Changes the role of the stand-in.
    ChangeRole(String),
}

/// Order from an operator or an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing token; later holders of the lease to give orders have greater ones.
    pub fence: u64,
    /// Task to carry out.
    pub task: Task,
}

/// Record of the orders that a stand-in received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Orders {
    /// Orders that were carried out, oldest first.
    pub done: Vec<Order>,
    /// Number of orders refused because of an outdated fencing token.
    pub refused: u64,
    #[serde(skip)]
    checks_fencing: bool,
}

impl Orders {
    /// Creates an empty record; `checks_fencing` tells whether outdated fencing tokens are refused.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, ..Self::default() }
    }

    /// Records an order as carried out.
    ///
    /// Returns false if fencing is checked and the token of the order is outdated.
    pub fn apply(&mut self, order: Order) -> bool {
        let highest_token = self.done.iter().map(|order| order.fence).max().unwrap_or(0);
        if self.checks_fencing && order.fence < highest_token {
            self.refused += 1;
            return false;
        }
        self.done.push(order);
        true
    }
}
