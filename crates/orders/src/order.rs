//! What an engine is ordered to do.

use names::Model;
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Load a model.
    Load(Model),
    /// Drop a model.
    Unload(Model),
}

/// An order, as it is sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease that the order is given under.
    pub fence: u64,
    /// What it asks for.
    pub task: Task,
}
