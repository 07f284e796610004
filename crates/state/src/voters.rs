//! Which instances shall vote, as operators say, and who said so.

use names::{Instance, Operator};
use serde::{Deserialize, Serialize};

use crate::{Index, Machine};

/// Most changes that are remembered.
const MAX_CHANGES: usize = 100;

/// How a change of the voters stands.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Voters are being added and removed.
    Running,
    /// The voters are as asked for.
    Done,
    /// It was given up for the voters before it.
    Cancelled,
}

/// A record of one change of the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterChange {
    /// Its number, from 1.
    pub number: u64,
    /// Names it, so that it may be sent again.
    pub order: String,
    /// Who asked for it.
    pub operator: Operator,
    /// When it was asked for, in seconds of Unix time.
    pub at: u64,
    /// The voters before it, sorted.
    pub from: Vec<Instance>,
    /// The voters after it, sorted.
    pub to: Vec<Instance>,
    /// How it stands.
    pub progress: Progress,
}

/// A command about the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VotersCommand {
    /// Asks for what is known.
    Show,
    /// Asks for other voters; `from` and `to` are sorted.
    Amend {
        /// Names the change.
        order: String,
        /// Who asks.
        operator: Operator,
        /// When, in seconds of Unix time.
        at: u64,
        /// The voters that the operator knows.
        from: Vec<Instance>,
        /// The voters that shall be.
        to: Vec<Instance>,
    },
    /// The voters are as the change says.
    Finish {
        /// Number of the change.
        number: u64,
    },
    /// The leader replaces voters by itself, also while another change runs.
    Repair {
        /// Who asks, for the list of changes.
        operator: Operator,
        /// When, in seconds of Unix time.
        at: u64,
        /// The voters that shall be, sorted.
        to: Vec<Instance>,
    },
}

/// The outcome of a [`VotersCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VotersOutcome {
    /// All that is known.
    Known(Voters),
    /// The change is accepted, or was before.
    Accepted(VoterChange),
    /// This other change has to end first.
    Busy(VoterChange),
    /// The voters are others than the operator knows.
    Conflict(Vec<Instance>),
    /// The order was used for another change.
    Reused(VoterChange),
    /// The change was finished, or had ended before.
    Finished,
    /// The command is of an unknown form.
    Malformed,
}

/// The voters that operators asked for, with the changes that led to them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    target: Vec<Instance>,
    changes: Vec<VoterChange>,
}

impl Voters {
    /// The instances that shall vote, sorted; none while the founders do.
    pub fn target(&self) -> &[Instance] {
        &self.target
    }

    /// The remembered changes, oldest first.
    pub fn changes(&self) -> &[VoterChange] {
        &self.changes
    }

    /// The change that has not ended.
    pub fn running(&self) -> Option<&VoterChange> {
        self.changes.last().filter(|change| change.progress == Progress::Running)
    }

    fn execute(&mut self, command: VotersCommand) -> VotersOutcome {
        match command {
            VotersCommand::Show => VotersOutcome::Known(self.clone()),
            VotersCommand::Amend { order, operator, at, from, to } => {
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
