//! What an engine is ordered to do.

use std::fmt;

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
    /// Take on a role.
    ChangeRole(String),
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(formatter, "load model {model}"),
            Self::Unload(model) => write!(formatter, "unload model {model}"),
            Self::ChangeRole(role) => write!(formatter, "take on role {role}"),
        }
    }
}

/// An order, as it is sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease that the order is given under.
    pub fence: u64,
    /// What it asks for.
    pub task: Task,
}
