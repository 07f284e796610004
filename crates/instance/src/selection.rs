//! Selection of the engines that each rollout or role change applies to.

use declare::ROLE_LABEL;
use orders::{Engine, Plan, RolloutProgress, Task};
use upstream::{Announcement, Protocol};

/// Compares the announcements of engines with the declared rollouts and role changes.
pub(crate) struct Selection<'all> {
    plans: Vec<&'all Plan>,
    announcements: &'all [Announcement],
}

impl<'all> Selection<'all> {
    pub(crate) fn new(
        rollouts: &'all [RolloutProgress],
        announcements: &'all [Announcement],
    ) -> Self {
        Self { plans: rollouts.iter().map(RolloutProgress::plan).collect(), announcements }
    }

    /// Returns the engines that the plan at `index` applies to, and their progress.
    pub(crate) fn engines_of(&self, index: usize) -> Vec<Engine> {
        let plan = self.plans[index];
        let chosen = self.announcements.iter().filter(|announced| is_selected(plan, announced));
        chosen.map(|announced| self.engine_state(index, announced)).collect()
    }

    fn engine_state(&self, index: usize, announced: &Announcement) -> Engine {
        let (is_done, is_applicable) = match &self.plans[index].task {
            Task::Load(model) => (announced.models.contains(model), true),
            Task::Unload(model) => {
                let has_others = announced.models.iter().any(|other| other != model);
                (!announced.models.contains(model), has_others)
            }
            Task::ChangeRole(role) => {
                let is_done = announced.labels.get(ROLE_LABEL) == Some(role.as_str());
                (is_done, !self.has_earlier_role(index, announced))
            }
        };
        Engine { upstream: announced.upstream.clone(), is_done, can_apply: is_applicable }
    }

    /// Returns whether an earlier role change in the declarations applies to the same engine.
    fn has_earlier_role(&self, index: usize, announced: &Announcement) -> bool {
        let roles = self.plans[..index].iter();
        let mut roles = roles.filter(|plan| matches!(plan.task, Task::ChangeRole(_)));
        roles.any(|plan| is_selected(plan, announced))
    }
}

fn is_selected(plan: &Plan, announced: &Announcement) -> bool {
    announced.protocol == Protocol::ChatCompletions
        && !announced.is_leaving
        && plan.upstreams.matches(&announced.labels)
}
