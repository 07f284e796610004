//! The core of a voter with its storage and the machines that it feeds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use names::Instance;
use state::{
    Action, Core, Entry, Envelope, Index, Input, Origin, Payload, Proposed, Snapshot, Storage,
};
use telemetry::Metrics;

use super::machines::{Applied, Machines};
use crate::Error;

/// The log may grow to one of so many parts of the snapshot, if that is above its limit.
const LOG_PART: usize = 8;

/// What the actor has to do for the core.
pub(super) enum Effect {
    /// Send a message to a peer's core.
    Send(Instance, Envelope),
    /// Tell whoever proposed what became of it.
    Finish(Origin, Proposed),
    /// Stop the process.
    Fail(Error),
}

/// A voter or learner, once its data folder was read.
pub(super) struct Keeper {
    core: Core,
    storage: Storage,
    metrics: Arc<Metrics>,
    log_limit: usize,
    /// Bytes of entries applied since the last snapshot.
    applied_bytes: usize,
    leader: Option<Instance>,
    /// Writes that are not synced yet.
    writes: VecDeque<Writing>,
}

/// A write that is not synced yet.
struct Writing {
    ticket: u64,
    since: Instant,
}

impl Keeper {
    pub(super) fn new(
        core: Core,
        storage: Storage,
        metrics: Arc<Metrics>,
        log_limit: usize,
    ) -> Self {
        Self {
            core,
            storage,
            metrics,
            log_limit,
            applied_bytes: 0,
            leader: None,
            writes: VecDeque::new(),
        }
    }

    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    /// Gives the core an input and does what it asks for.
    pub(super) fn step(
        &mut self,
        now: Instant,
        input: Input,
        machines: &mut Machines,
    ) -> Vec<Effect> {
        if let Input::Synced { ticket } = input {
            self.observe_sync(now, ticket);
        }
        let actions = self.core.step(now, input);
        let mut effects = Vec::new();
        for action in actions {
            self.perform(now, action, machines, &mut effects);
        }
        if self.is_compaction_due() {
            let index = self.core.commit();
            let input = Input::Compact { index, data: machines.snapshot() };
            self.applied_bytes = 0;
            self.metrics.replica.snapshots.inc();
            effects.extend(self.step(now, input, machines));
        }
        self.observe(now);
        effects
    }

    fn observe_sync(&mut self, now: Instant, ticket: u64) {
        while let Some(writing) = self.writes.pop_front_if(|writing| writing.ticket <= ticket) {
            let time = now.saturating_duration_since(writing.since);
            self.metrics.replica.sync.observe(time.as_secs_f64());
        }
    }

    fn perform(
        &mut self,
        now: Instant,
        action: Action,
        machines: &mut Machines,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            Action::Send { addressee, envelope } => effects.push(Effect::Send(addressee, envelope)),
            Action::Persist(write) => {
                self.writes.push_back(Writing { ticket: write.ticket, since: now });
                self.storage.write(write);
            }
            Action::Apply { index, entry } => self.apply(index, entry, machines, effects),
            Action::Restore(snapshot) => {
                self.metrics.replica.installs.inc();
                effects.extend(restore(&snapshot, machines));
            }
            Action::Refuse { origin } => effects.push(Effect::Finish(origin, Proposed::NotRun)),
            Action::Halt { index } => effects.push(Effect::Fail(Error::Contradiction { index })),
        }
    }

    fn apply(
        &mut self,
        index: Index,
        entry: Entry,
        machines: &mut Machines,
        effects: &mut Vec<Effect>,
    ) {
        self.applied_bytes += entry.size();
        let Payload::Command { origin, bytes } = entry.payload else {
            return;
        };
        if let Applied::Outcome(outcome) = machines.apply(index, &origin, &bytes) {
            effects.push(Effect::Finish(origin, Proposed::Applied { index, outcome }));
        }
    }

    /// Whether the log has outgrown the part of the snapshot that it may take up.
    fn is_compaction_due(&self) -> bool {
        let snapshot_bytes = self.core.snapshot().data.len();
        self.applied_bytes >= self.log_limit.max(snapshot_bytes / LOG_PART)
    }

    /// Counts what changed, and logs a change of the leader.
    fn observe(&mut self, now: Instant) {
        let metrics = &self.metrics.replica;
        metrics.term.set(i64::try_from(self.core.term().0).unwrap_or(i64::MAX));
        metrics.commit.set(i64::try_from(self.core.commit().0).unwrap_or(i64::MAX));
        metrics.log_bytes.set(i64::try_from(self.core.log_bytes()).unwrap_or(i64::MAX));
        metrics.is_voting.set(i64::from(self.core.is_voter()));
        metrics.is_leader.set(i64::from(self.core.is_leading(now)));
        let leader = self.core.leader_instance(now);
        if self.leader.as_ref() != leader {
            metrics.leader_changes.inc();
            match leader {
                Some(leader) => log::info!("instance {leader} leads term {}", self.core.term()),
                None => log::info!("no leader is known in term {}", self.core.term()),
            }
            self.leader = leader.cloned();
        }
    }
}

/// Restores the machines from a snapshot; an effect when they refuse it.
pub(super) fn restore(snapshot: &Snapshot, machines: &mut Machines) -> Option<Effect> {
    let index = snapshot.position.index;
    match machines.restore(index, &snapshot.data.joined()) {
        true => None,
        false => Some(Effect::Fail(Error::Snapshot { index })),
    }
}
