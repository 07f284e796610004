//! Commands to the ledger and their outcomes.

use std::time::Duration;

use names::Attempt;
use serde::{Deserialize, Serialize};

use crate::{Digest, Ticket, Time};

/// A header of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// An upstream's answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<Field>,
    /// Its body; none when it was too large to keep.
    #[serde(with = "crate::body")]
    pub body: Option<Vec<u8>>,
}

impl Answer {
    /// Bytes that the answer takes up.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|field| field.name.len() + field.value.len());
        headers.sum::<usize>() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// What is left of an answer of which only the status is kept.
    pub fn of_status(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: None }
    }

    /// The answer if it takes up `limit` bytes or fewer, else its status alone.
    pub fn within(self, limit: usize) -> Self {
        if self.size() <= limit {
            return self;
        }
        Self::of_status(self.status)
    }
}

/// Claims a key for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub ticket: Ticket,
    /// The attempt that may run once the claim is granted.
    pub fence: Attempt,
    /// The proposer's estimate of the ledger's time.
    pub now: Time,
    /// How long the attempt may take; after that its outcome is unknown.
    pub hold: Duration,
}

/// How a claimed attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The upstream answered.
    Answered(Answer),
    /// It may have run.
    Unknown,
    /// It did not and will not run.
    NotRun,
}

/// Ends the claim of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The claimed key.
    pub key: Digest,
    /// The attempt that claimed it.
    pub fence: Attempt,
    /// The proposer's estimate of the ledger's time.
    pub now: Time,
    /// How it ended.
    pub ending: Ending,
}

/// A command to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Claims a key.
    Claim(Claim),
    /// Ends a claim.
    Settle(Settlement),
}

/// What the ledger says to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The key belongs to the attempt, which may run.
    Granted,
    /// The key was used before, and this was the answer.
    Answered(Answer),
    /// Another attempt is running; its outcome is known after this time at the latest.
    Running {
        /// Until then.
        left: Duration,
    },
    /// Another attempt may have run.
    Unknown,
    /// The key was used for another request.
    Conflict,
    /// The ledger, or the account's share of it, is full; the oldest record expires then.
    Full {
        /// Until then.
        left: Duration,
    },
    /// The attempt was declared as not run before; it must not run.
    Withdrawn,
    /// The claim has ended as the command says.
    Settled,
    /// The attempt has no claim on the key.
    NotClaimed,
    /// The command is not valid.
    Invalid,
    /// The claim came after the time for which it was made; it is not granted and never will be.
    Late,
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The ledger's time after it.
    pub time: Time,
    /// What the ledger says.
    pub reply: Reply,
}

impl Command {
    /// The command as bytes for the replicated log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl Outcome {
    /// Reads what the machine gave for a command; none when the bytes are no outcome.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
