//! State machines that apply the committed commands and share one snapshot.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stakker::Fwd;
use state::{Chunks, Index, ProposalId, Sessions};

use super::{Part, SharedMachine};

/// Maximum number of outcomes that are remembered for proposals that are resent.
const MAX_OUTCOMES: usize = 256;

/// Maximum size of an outcome that is remembered, in bytes.
const MAX_OUTCOME_BYTES: usize = 16 << 10;

struct AttachedMachine {
    part: Part,
    machine: SharedMachine,
    applied: Fwd<Index>,
}

/// A command with the state machine that applies it.
#[derive(Serialize, Deserialize)]
struct Command {
    part: Part,
    bytes: Vec<u8>,
}

/// Snapshot of all state machines.
#[derive(Default, Deserialize)]
struct MachineSnapshot {
    sessions: Sessions,
    parts: Vec<(Part, Vec<u8>)>,
}

/// Result of applying a committed command.
pub(super) enum ApplyResult {
    /// Outcome that the state machine returned.
    Outcome(Vec<u8>),
    /// No outcome: the command was applied before and its outcome is no longer remembered, the
    /// command cannot be decoded, or its state machine is not attached.
    Nothing,
}

/// All state machines of this instance.
#[derive(Default)]
pub(super) struct Machines {
    attached: Vec<AttachedMachine>,
    sessions: Sessions,
    /// Outcomes of the latest commands, except commands for the ledger, newest last.
    outcomes: VecDeque<(ProposalId, Vec<u8>)>,
    /// Snapshots of the parts without an attached state machine.
    unattached: Vec<(Part, Vec<u8>)>,
}

/// Encodes a command for the state machine of `part` for the log.
pub(super) fn encode(part: Part, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_allocvec(&Command { part, bytes }).unwrap_or_default()
}

impl Machines {
    /// Attaches the state machine of `part` and restores its state from an earlier snapshot, if
    /// any.
    pub(super) fn attach(&mut self, part: Part, machine: SharedMachine, applied: Fwd<Index>) {
        let found = self.unattached.iter().position(|(unattached, _)| *unattached == part);
        if let Some((_, bytes)) = found.map(|index| self.unattached.remove(index)) {
            restore(part, &machine, &bytes);
        }
        self.attached.push(AttachedMachine { part, machine, applied });
    }

    /// Applies a committed command.
    pub(super) fn apply(&mut self, index: Index, origin: &ProposalId, bytes: &[u8]) -> ApplyResult {
        if !self.sessions.accept(origin) {
            return self.outcome_of_duplicate(origin);
        }
        let Ok(command) = postcard::from_bytes::<Command>(bytes) else {
            log::warn!("log entry {index} holds a command that cannot be decoded; entry skipped");
            return ApplyResult::Nothing;
        };
        let found = self.attached.iter().find(|attached| attached.part == command.part);
        let Some(attached) = found else {
            log::warn!(
                "log entry {index} is for part {}, which has no state machine here; entry skipped",
                command.part
            );
            return ApplyResult::Nothing;
        };
        let outcome = attached.machine.borrow_mut().apply(index, &command.bytes);
        attached.applied.fwd(index);
        if command.part != Part::Ledger {
            self.remember_outcome(origin, &outcome);
        }
        ApplyResult::Outcome(outcome)
    }

    /// Returns the result for a command that was already applied under the same sequence number.
    fn outcome_of_duplicate(&self, origin: &ProposalId) -> ApplyResult {
        let found = self.outcomes.iter().find(|(applied, _)| applied == origin);
        found.map_or(ApplyResult::Nothing, |(_, outcome)| ApplyResult::Outcome(outcome.clone()))
    }

    fn remember_outcome(&mut self, origin: &ProposalId, outcome: &[u8]) {
        if outcome.len() > MAX_OUTCOME_BYTES {
            return;
        }
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((origin.clone(), outcome.to_vec()));
    }

    /// Returns the state of all state machines, encoded as a [`MachineSnapshot`].
    pub(super) fn snapshot(&self) -> Chunks {
        let unattached = self.unattached.iter();
        let mut parts: Vec<(Part, Chunks)> =
            unattached.map(|(part, bytes)| (*part, Chunks::from(bytes.clone()))).collect();
        for attached in &self.attached {
            parts.push((attached.part, attached.machine.borrow().snapshot_chunks()));
        }
        parts.sort_by_key(|(part, _)| *part);
        let mut chunks = encode_chunk(&(&self.sessions, parts.len()));
        for (part, bytes) in parts {
            chunks.extend(encode_chunk(&(part, bytes.len())));
            chunks.extend(bytes);
        }
        chunks
    }

    /// Replaces the state of all state machines with that of a snapshot. Returns `false` if the
    /// snapshot cannot be decoded.
    pub(super) fn restore(&mut self, index: Index, snapshot: &[u8]) -> bool {
        if snapshot.is_empty() {
            return true;
        }
        let Ok(stored) = postcard::from_bytes::<MachineSnapshot>(snapshot) else {
            return false;
        };
        self.sessions = stored.sessions;
        self.unattached.clear();
        let mut is_complete = true;
        for (part, bytes) in stored.parts {
            match self.attached.iter().find(|attached| attached.part == part) {
                Some(attached) => {
                    is_complete &= restore(part, &attached.machine, &bytes);
                    attached.applied.fwd(index);
                }
                None => self.unattached.push((part, bytes)),
            }
        }
        is_complete
    }
}

fn encode_chunk<T>(content: &T) -> Chunks
where
    T: Serialize,
{
    Chunks::from(postcard::to_allocvec(content).unwrap_or_default())
}

fn restore(part: Part, machine: &SharedMachine, bytes: &[u8]) -> bool {
    let is_restored = machine.borrow_mut().restore(bytes);
    if !is_restored {
        log::error!("the snapshot of part {part} cannot be decoded");
    }
    is_restored
}
