//! Target set of voters as requested by operators, with an audit trail of the changes.

use names::{Instance, Operator};
use serde::{Deserialize, Serialize};

use crate::{Index, Machine};

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 100;

/// Progress of a change of the voters.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Voters are being added and removed.
    Running,
    /// The voters match the requested set.
    Done,
    /// The change was cancelled in favour of the previous voters or of a repair.
    Cancelled,
}

/// Record of one change of the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterChange {
    /// Sequence number of the change, counted from 1.
    pub number: u64,
    /// Idempotency key that allows the request to be repeated.
    pub order: String,
    /// Operator that requested the change.
    pub operator: Operator,
    /// Time of the request, in seconds of Unix time.
    pub at: u64,
    /// Voters before the change, sorted.
    pub from: Vec<Instance>,
    /// Voters after the change, sorted.
    pub to: Vec<Instance>,
    /// Progress of the change.
    pub progress: Progress,
}

/// Command about the target set of voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VotersCommand {
    /// Returns the target voters and the recorded changes.
    Show,
    /// Requests a different set of voters.
    RequestChange {
        /// Idempotency key of the request.
        order: String,
        /// Operator that requests the change.
        operator: Operator,
        /// Time of the request, in seconds of Unix time.
        at: u64,
        /// Voters that the operator expects to be in force, sorted.
        from: Vec<Instance>,
        /// Requested voters, sorted.
        to: Vec<Instance>,
    },
    /// Marks a change as done, because the voters match it.
    Finish {
        /// Sequence number of the change.
        number: u64,
    },
    /// Replaces voters on behalf of the leader and cancels any running change.
    Repair {
        /// Operator name to record for the change.
        operator: Operator,
        /// Time of the request, in seconds of Unix time.
        at: u64,
        /// Requested voters, sorted.
        to: Vec<Instance>,
    },
}

/// Outcome of a [`VotersCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VotersOutcome {
    /// Target voters and recorded changes.
    Known(Voters),
    /// The change is accepted, now or by an earlier request with the same key.
    Accepted(VoterChange),
    /// Another change has to finish first.
    Busy(VoterChange),
    /// The voters in force differ from those that the operator expects.
    Conflict(Vec<Instance>),
    /// The idempotency key was used for a different change.
    Reused(VoterChange),
    /// The change is finished, or was no longer running.
    Finished,
    /// The command could not be decoded.
    Malformed,
}

/// Target set of voters and the changes that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    target: Vec<Instance>,
    changes: Vec<VoterChange>,
}

impl Voters {
    /// Returns the target voters, sorted; empty while the initial voters are in force.
    pub fn target(&self) -> &[Instance] {
        &self.target
    }

    /// Returns the recorded changes, oldest first.
    pub fn changes(&self) -> &[VoterChange] {
        &self.changes
    }

    /// Returns the change that is still in progress.
    pub fn running(&self) -> Option<&VoterChange> {
        self.changes.last().filter(|change| change.progress == Progress::Running)
    }

    fn execute(&mut self, command: VotersCommand) -> VotersOutcome {
        match command {
            VotersCommand::Show => VotersOutcome::Known(self.clone()),
            VotersCommand::RequestChange { order, operator, at, from, to } => {
                let progress = Progress::Running;
                self.request_change(VoterChange {
                    number: 0,
                    order,
                    operator,
                    at,
                    from,
                    to,
                    progress,
                })
            }
            VotersCommand::Finish { number } => self.finish_change(number),
            VotersCommand::Repair { operator, at, to } => self.replace_voters(operator, at, to),
        }
    }

    fn request_change(&mut self, requested: VoterChange) -> VotersOutcome {
        let same_order = |change: &&VoterChange| change.order == requested.order;
        if let Some(earlier) = self.changes.iter().find(same_order) {
            return match earlier.to == requested.to {
                true => VotersOutcome::Accepted(earlier.clone()),
                false => VotersOutcome::Reused(earlier.clone()),
            };
        }
        let is_cancelled = self.running().is_some_and(|running| running.from == requested.to);
        if let Some(running) = self.running().filter(|_| !is_cancelled) {
            return VotersOutcome::Busy(running.clone());
        }
        if !self.target.is_empty() && self.target != requested.from {
            return VotersOutcome::Conflict(self.target.clone());
        }
        if let Some(running) = self.changes.last_mut().filter(|_| is_cancelled) {
            running.progress = Progress::Cancelled;
        }
        let number = self.changes.last().map_or(1, |last| last.number + 1);
        self.target = requested.to.clone();
        let change = VoterChange { number, ..requested };
        if self.changes.len() == MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(change.clone());
        VotersOutcome::Accepted(change)
    }

    fn replace_voters(&mut self, operator: Operator, at: u64, to: Vec<Instance>) -> VotersOutcome {
        if let Some(running) = self.changes.last_mut()
            && running.progress == Progress::Running
        {
            running.progress = Progress::Cancelled;
        }
        let number = self.changes.last().map_or(1, |last| last.number + 1);
        let from = std::mem::replace(&mut self.target, to.clone());
        let order = format!("repair-{number}");
        let progress = Progress::Running;
        let change = VoterChange { number, order, operator, at, from, to, progress };
        if self.changes.len() == MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(change.clone());
        VotersOutcome::Accepted(change)
    }

    fn finish_change(&mut self, number: u64) -> VotersOutcome {
        let is_running_change = |change: &&mut VoterChange| {
            change.number == number && change.progress == Progress::Running
        };
        if let Some(change) = self.changes.last_mut().filter(is_running_change) {
            change.progress = Progress::Done;
        }
        VotersOutcome::Finished
    }
}

impl Machine for Voters {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.execute(command),
            Err(_) => VotersOutcome::Malformed,
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok(voters) = postcard::from_bytes(snapshot) else {
            return false;
        };
        *self = voters;
        true
    }
}
