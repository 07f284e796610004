//! The progress of one rollout.

use std::time::{Duration, Instant};

use names::Upstream;

use crate::Plan;

/// How long an engine may take from an order until it announces that it is carried out.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);

/// An engine that a rollout selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub upstream: Upstream,
    /// Whether it announces what the rollout asks for.
    pub is_done: bool,
    /// Whether it can do that; it cannot drop its only model.
    pub is_able: bool,
}

/// Where a rollout stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Every selected engine announces what is asked for.
    Done,
    /// Engines carry out orders, or orders wait for their turn.
    Running,
    /// An engine that was ordered vanished or was late, or one is not able; no further engine gets
    /// an order until the rollout's declaration changes.
    Halted(Upstream),
}

struct Pending {
    upstream: Upstream,
    deadline: Instant,
}

/// Follows one rollout at the holder of the orders' lease.
pub struct Progress {
    plan: Plan,
    pending: Vec<Pending>,
    halted: Option<Upstream>,
    next_order_at: Option<Instant>,
}

impl Progress {
    /// A rollout of which nothing is known.
    pub fn new(plan: Plan) -> Self {
        Self { plan, pending: Vec::new(), halted: None, next_order_at: None }
    }

    /// What is declared.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The engines that get an order at `now`, given the selected `engines` in the order of their
    /// names. At most `at_once` change at a time, and orders keep the declared interval.
    pub fn next(&mut self, now: Instant, engines: &[Engine]) -> Option<Upstream> {
        self.settle(now, engines);
        let may_order = self.halted.is_none()
            && self.pending.len() < self.plan.at_once as usize
            && self.next_order_at.is_none_or(|at| now >= at);
        if !may_order {
            return None;
        }
        let engine = engines.iter().find(|engine| self.needs_order(engine))?;
        let chosen = engine.upstream.clone();
        if !engine.is_able {
            self.halted = Some(chosen);
            return None;
        }
        self.pending.push(Pending { upstream: chosen.clone(), deadline: now + CHANGE_TIMEOUT });
        self.next_order_at = Some(now + self.plan.interval.as_duration());
        Some(chosen)
    }

    /// Takes note that the order to `upstream` was not carried out; it will be given again.
    pub fn failed(&mut self, upstream: &Upstream) {
        self.pending.retain(|pending| pending.upstream != *upstream);
    }

    /// Where the rollout stands, given the selected engines.
    pub fn standing(&self, engines: &[Engine]) -> Standing {
        match &self.halted {
            Some(upstream) => Standing::Halted(upstream.clone()),
            None if engines.iter().all(|engine| engine.is_done) => Standing::Done,
            None => Standing::Running,
        }
    }

    fn needs_order(&self, engine: &Engine) -> bool {
        let is_pending = self.pending.iter().any(|pending| pending.upstream == engine.upstream);
        !engine.is_done && !is_pending
    }

    /// Drops what is done, and halts when an ordered engine is gone or late.
    fn settle(&mut self, now: Instant, engines: &[Engine]) {
        let find = |upstream: &Upstream| engines.iter().find(|one| one.upstream == *upstream);
        self.pending.retain(|pending| !find(&pending.upstream).is_some_and(|one| one.is_done));
        let failed = self
            .pending
            .iter()
            .find(|pending| find(&pending.upstream).is_none() || now >= pending.deadline);
        if let Some(pending) = failed {
            self.halted.get_or_insert(pending.upstream.clone());
        }
    }
}
