//! Plan of a rollout: the task, the selected engines, and the pace.

use declare::{Action, RoleChange, Rollout, Selector};
use units::Span;

use crate::Task;

/// Plan of a declared rollout or role change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Task for each selected engine.
    pub task: Task,
    /// Selector of the engines.
    pub upstreams: Selector,
    /// Maximum number of engines of a data centre that carry out orders at the same time.
    pub at_once: u32,
    /// Minimum time between two orders.
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
