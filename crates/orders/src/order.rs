//! Orders that are sent to engines.

use std::fmt;

use names::Model;
use serde::{Deserialize, Serialize};

/// Task that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Load a model.
    Load(Model),
    /// Unload a model.
    Unload(Model),
    /// Change to a role.
    ChangeRole(String),
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(formatter, "load model {model}"),
            Self::Unload(model) => write!(formatter, "unload model {model}"),
            Self::ChangeRole(role) => write!(formatter, "change to role {role}"),
        }
    }
}

/// An order to an engine, which is sent as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// Requested task.
    pub task: Task,
}
