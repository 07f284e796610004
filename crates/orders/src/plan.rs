//! What is to be ordered of which engines, and how fast.

use declare::{Action, RoleChange, Rollout, Selector};
use units::Span;

use crate::Task;

/// A declared rollout or change of role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What each engine is ordered to do.
    pub task: Task,
    /// The engines.
    pub upstreams: Selector,
    /// How many engines of a data centre change at the same time.
    pub at_once: u32,
    /// Least time between two orders.
    pub interval: Span,
}

impl From<&Rollout> for Plan {
    fn from(rollout: &Rollout) -> Self {
        let model = rollout.model.clone();
        let task = match rollout.action {
            Action::Load => Task::Load(model),
            Action::Unload => Task::Unload(model),
        };
        let Rollout { upstreams, at_once, interval, .. } = rollout.clone();
        Self { task, upstreams, at_once, interval }
    }
}

impl From<&RoleChange> for Plan {
    fn from(change: &RoleChange) -> Self {
        let RoleChange { role, upstreams, at_once, interval } = change.clone();
        Self { task: Task::ChangeRole(role), upstreams, at_once, interval }
    }
}
