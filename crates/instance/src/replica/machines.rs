//! The attached machines, which apply commands and are snapshotted together.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stakker::Fwd;
use state::{Chunks, Index, Origin, Sessions};

use super::{Part, SharedMachine};

/// Most outcomes that are remembered for proposals that were sent again.
const MAX_OUTCOMES: usize = 256;

/// Longest outcome that is remembered, in bytes.
const MAX_OUTCOME_BYTES: usize = 16 << 10;

struct Attached {
    part: Part,
    machine: SharedMachine,
    applied: Fwd<Index>,
}

/// A command with the machine that it is for.
#[derive(Serialize, Deserialize)]
struct Command {
    part: Part,
    bytes: Vec<u8>,
}

/// The state of all machines.
#[derive(Default, Deserialize)]
struct Stored {
    sessions: Sessions,
    parts: Vec<(Part, Vec<u8>)>,
}

/// What became of a committed command.
pub(super) enum Applied {
    /// The machine's outcome.
    Outcome(Vec<u8>),
    /// It was applied before and its outcome is forgotten, or it is for a machine that is not
    /// attached.
    Nothing,
}

/// All machines of this instance.
#[derive(Default)]
pub(super) struct Machines {
    attached: Vec<Attached>,
    sessions: Sessions,
    /// Outcomes of the latest commands but those for the ledger, the newest last.
    outcomes: VecDeque<(Origin, Vec<u8>)>,
    /// State of parts that have no machine here.
    unattached: Vec<(Part, Vec<u8>)>,
}

/// A command for the machine of `part` as bytes of the log.
pub(super) fn encode(part: Part, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_allocvec(&Command { part, bytes }).unwrap_or_default()
}

impl Machines {
    /// Attaches the machine of `part` with the state that was restored for it before.
    pub(super) fn attach(&mut self, part: Part, machine: SharedMachine, applied: Fwd<Index>) {
        let found = self.unattached.iter().position(|(unattached, _)| *unattached == part);
        if let Some((_, bytes)) = found.map(|index| self.unattached.remove(index)) {
            restore(part, &machine, &bytes);
        }
        self.attached.push(Attached { part, machine, applied });
    }

    /// Applies a committed command.
    pub(super) fn apply(&mut self, index: Index, origin: &Origin, bytes: &[u8]) -> Applied {
        if !self.sessions.accept(origin) {
            return self.repeated(origin);
        }
        let Ok(command) = postcard::from_bytes::<Command>(bytes) else {
            log::warn!("entry {index} holds a command of an unknown form");
            return Applied::Nothing;
        };
        let found = self.attached.iter().find(|attached| attached.part == command.part);
        let Some(attached) = found else {
            log::warn!("entry {index} is for part {}, which has no machine", command.part);
            return Applied::Nothing;
        };
        let outcome = attached.machine.borrow_mut().apply(index, &command.bytes);
        attached.applied.fwd(index);
        if command.part != Part::Ledger {
            self.remember(origin, &outcome);
        }
        Applied::Outcome(outcome)
    }

    /// What a command gets that was applied before, under the same number.
    fn repeated(&self, origin: &Origin) -> Applied {
        let found = self.outcomes.iter().find(|(applied, _)| applied == origin);
        found.map_or(Applied::Nothing, |(_, outcome)| Applied::Outcome(outcome.clone()))
    }

    fn remember(&mut self, origin: &Origin, outcome: &[u8]) {
        if outcome.len() > MAX_OUTCOME_BYTES {
            return;
        }
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((origin.clone(), outcome.to_vec()));
    }

    /// The state of all machines as bytes of the form of [`Stored`].
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

    /// Replaces the state of all machines by that of a snapshot; false when it is none.
    pub(super) fn restore(&mut self, index: Index, snapshot: &[u8]) -> bool {
        if snapshot.is_empty() {
            return true;
        }
        let Ok(stored) = postcard::from_bytes::<Stored>(snapshot) else {
            return false;
        };
        self.sessions = stored.sessions;
        self.unattached.clear();
        let mut is_whole = true;
        for (part, bytes) in stored.parts {
            match self.attached.iter().find(|attached| attached.part == part) {
                Some(attached) => {
                    is_whole &= restore(part, &attached.machine, &bytes);
                    attached.applied.fwd(index);
                }
                None => self.unattached.push((part, bytes)),
            }
        }
        is_whole
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
        log::error!("the snapshot of part {part} is of an unknown form");
    }
    is_restored
}
