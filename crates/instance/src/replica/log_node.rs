//! Consensus core of a voter or learner, with its storage and its state machines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use names::Instance;
use state::{
    Action, Core, Entry, Envelope, Index, Input, Payload, ProposalId, ProposalOutcome, Snapshot,
    Storage,
};
use telemetry::Metrics;

use super::machines::{ApplyResult, Machines};
use crate::Error;

/// The log may grow to the snapshot size divided by this number, if that exceeds the log limit.
const SNAPSHOT_TO_LOG_RATIO: usize = 8;

/// Action that the actor performs for the core.
pub(super) enum Effect {
    /// Send a message to a peer's core.
    Send(Instance, Envelope),
    /// Report the outcome of a proposal to the proposer.
    ReportOutcome(ProposalId, ProposalOutcome),
    /// Stop the process with an error.
    Fail(Error),
}

/// A voter or learner whose data folder has been read.
pub(super) struct LogNode {
    core: Core,
    storage: Storage,
    metrics: Arc<Metrics>,
    log_limit: usize,
    /// Size of the entries applied since the last snapshot, in bytes.
    applied_bytes: usize,
    /// Leader that was last logged.
    last_leader: Option<Instance>,
    /// Writes that are not synced to disk yet, oldest first.
    pending_writes: VecDeque<PendingWrite>,
}

/// A write that is not synced to disk yet.
struct PendingWrite {
    write_number: u64,
    since: Instant,
}

impl LogNode {
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
            last_leader: None,
            pending_writes: VecDeque::new(),
        }
    }

    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    /// Feeds an input to the core and performs the resulting actions. Returns the effects that
    /// remain for the actor.
    pub(super) fn step(
        &mut self,
        now: Instant,
        input: Input,
        machines: &mut Machines,
    ) -> Vec<Effect> {
        if let Input::Synced { write_number } = input {
            self.record_sync_times(now, write_number);
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
        self.update_metrics(now);
        effects
    }

    fn record_sync_times(&mut self, now: Instant, write_number: u64) {
        while let Some(pending) =
            self.pending_writes.pop_front_if(|pending| pending.write_number <= write_number)
        {
            let time = now.saturating_duration_since(pending.since);
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
                self.pending_writes
                    .push_back(PendingWrite { write_number: write.write_number, since: now });
                self.storage.write(write);
            }
            Action::Apply { index, entry } => self.apply(index, entry, machines, effects),
            Action::Restore(snapshot) => {
                self.metrics.replica.installed_snapshots.inc();
                effects.extend(restore(&snapshot, machines));
            }
            Action::Refuse { origin } => {
                effects.push(Effect::ReportOutcome(origin, ProposalOutcome::NotRun))
            }
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
        if let ApplyResult::Outcome(outcome) = machines.apply(index, &origin, &bytes) {
            effects
                .push(Effect::ReportOutcome(origin, ProposalOutcome::Applied { index, outcome }));
        }
    }

    /// Returns whether the log has grown enough since the last snapshot for a new snapshot.
    fn is_compaction_due(&self) -> bool {
        let snapshot_bytes = self.core.snapshot().data.len();
        self.applied_bytes >= self.log_limit.max(snapshot_bytes / SNAPSHOT_TO_LOG_RATIO)
    }

    /// Updates the metrics, and logs a change of the leader.
    fn update_metrics(&mut self, now: Instant) {
        let metrics = &self.metrics.replica;
        metrics.term.set(i64::try_from(self.core.term().0).unwrap_or(i64::MAX));
        metrics.commit_index.set(i64::try_from(self.core.commit().0).unwrap_or(i64::MAX));
        metrics.log_bytes.set(i64::try_from(self.core.log_bytes()).unwrap_or(i64::MAX));
        metrics.is_voting.set(i64::from(self.core.is_voter()));
        metrics.is_leader.set(i64::from(self.core.is_leading(now)));
        let leader = self.core.leader_instance(now);
        if self.last_leader.as_ref() != leader {
            metrics.leader_changes.inc();
            match leader {
                Some(leader) => log::info!(
                    "instance {leader} is the leader of the replicated log in term {}",
                    self.core.term()
                ),
                None => log::info!(
                    "the replicated log has no known leader in term {}",
                    self.core.term()
                ),
            }
            self.last_leader = leader.cloned();
        }
    }
}

/// Restores the state machines from a snapshot. Returns an effect if a state machine cannot decode
/// its part.
pub(super) fn restore(snapshot: &Snapshot, machines: &mut Machines) -> Option<Effect> {
    let index = snapshot.position.index;
    match machines.restore(index, &snapshot.data.joined()) {
        true => None,
        false => Some(Effect::Fail(Error::Snapshot { index })),
    }
}
