//! Progress of one rollout.

use std::time::{Duration, Instant};

use names::Upstream;

use crate::Plan;

/// Time after an order within which the engine must announce the requested state.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// State of an engine that a rollout selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine.
    pub upstream: Upstream,
    /// Whether the engine announces the state that the rollout requests.
    pub is_done: bool,
    /// Whether the engine can carry out the order. For example, an engine cannot unload its only
    /// model.
    pub can_apply: bool,
}

/// Status of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Every selected engine announces the requested state.
    Done,
    /// Orders are being carried out or are still to be sent.
    Running,
    /// This engine disappeared or timed out after an order, or cannot carry out its order. No
    /// further order is sent until the declaration of the rollout changes.
    Halted(Upstream),
}

struct PendingOrder {
    upstream: Upstream,
    deadline: Instant,
}

/// Tracks one rollout on the holder of the orders lease.
pub struct RolloutProgress {
    plan: Plan,
    pending: Vec<PendingOrder>,
    halted_at: Option<Upstream>,
    next_order_at: Option<Instant>,
}

impl RolloutProgress {
    /// Creates the progress of a rollout for which no order was sent yet.
    pub fn new(plan: Plan) -> Self {
        Self { plan, pending: Vec::new(), halted_at: None, next_order_at: None }
    }

    /// Returns the plan of the rollout.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the engine that gets an order at `now`, if any, given the selected `engines` sorted
    /// by name. At most `at_once` orders are pending at the same time, and orders are at least the
    /// declared interval apart.
    pub fn next_order(&mut self, now: Instant, engines: &[Engine]) -> Option<Upstream> {
        self.update_pending(now, engines);
        let can_order = self.halted_at.is_none()
            && self.pending.len() < self.plan.at_once as usize
            && self.next_order_at.is_none_or(|at| now >= at);
        if !can_order {
            return None;
        }
        let engine = engines.iter().find(|engine| self.needs_order(engine))?;
        let upstream = engine.upstream.clone();
        if !engine.can_apply {
            self.halted_at = Some(upstream);
            return None;
        }
        self.pending
            .push(PendingOrder { upstream: upstream.clone(), deadline: now + ORDER_TIMEOUT });
        self.next_order_at = Some(now + self.plan.interval.as_duration());
        Some(upstream)
    }

    /// Records that the order to `upstream` was not carried out. The order will be sent again.
    pub fn order_failed(&mut self, upstream: &Upstream) {
        self.pending.retain(|pending| pending.upstream != *upstream);
    }

    /// Returns the status of the rollout, given the selected engines.
    pub fn status(&self, engines: &[Engine]) -> RolloutStatus {
        match &self.halted_at {
            Some(upstream) => RolloutStatus::Halted(upstream.clone()),
            None if engines.iter().all(|engine| engine.is_done) => RolloutStatus::Done,
            None => RolloutStatus::Running,
        }
    }

    fn needs_order(&self, engine: &Engine) -> bool {
        let is_pending = self.pending.iter().any(|pending| pending.upstream == engine.upstream);
        !engine.is_done && !is_pending
    }

    /// Removes pending orders that are done, and halts the rollout if an engine with a pending
    /// order is gone or has timed out.
    fn update_pending(&mut self, now: Instant, engines: &[Engine]) {
        let find = |upstream: &Upstream| engines.iter().find(|engine| engine.upstream == *upstream);
        self.pending
            .retain(|pending| !find(&pending.upstream).is_some_and(|engine| engine.is_done));
        let expired = self
            .pending
            .iter()
            .find(|pending| find(&pending.upstream).is_none() || now >= pending.deadline);
        if let Some(pending) = expired {
            self.halted_at.get_or_insert(pending.upstream.clone());
        }
    }
}
