//! Commands to the ledger and their outcomes.

use std::time::Duration;

use names::Attempt;
use serde::{Deserialize, Serialize};

use crate::{Digest, RequestIdentity, Time};

/// A header of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Header name in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// A response from an upstream, stored for resends of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<Field>,
    /// Response body, or `None` if the response was too large to store or is archived.
    #[serde(with = "crate::body")]
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    /// Returns the size of the headers and the body in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|field| field.name.len() + field.value.len());
        headers.sum::<usize>() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Creates a response of which only the status is stored.
    pub fn without_body(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: None }
    }

    /// Returns the response unchanged if its size is at most `limit` bytes, otherwise only its
    /// status.
    pub fn without_body_if_over(self, limit: usize) -> Self {
        if self.size() <= limit {
            return self;
        }
        Self::without_body(self.status)
    }
}

/// Command that claims a key for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the request, with the key that is claimed.
    pub identity: RequestIdentity,
    /// Attempt that may run once the claim is granted.
    pub fence: Attempt,
    /// Proposer's estimate of the ledger time.
    pub now: Time,
    /// Maximum duration of the attempt, after which its outcome counts as unknown.
    pub timeout: Duration,
}

/// Outcome of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered(StoredResponse),
    /// The attempt may have run.
    Unknown,
    /// The attempt did not run and will not run.
    NotRun,
}

/// Command that settles the claim of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Claimed key.
    pub key: Digest,
    /// Attempt that claimed the key.
    pub fence: Attempt,
    /// Proposer's estimate of the ledger time.
    pub now: Time,
    /// Outcome of the attempt.
    pub attempt_outcome: AttemptOutcome,
}

/// A command to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Claims a key.
    Claim(Claim),
    /// Settles a claim.
    Settle(Settlement),
}

/// Reply of the ledger to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt owns the key and may run.
    Granted,
    /// The key was used before and the upstream sent this response.
    Answered(StoredResponse),
    /// Another attempt is running.
    Running {
        /// Maximum time until the outcome of the other attempt is known.
        remaining: Duration,
    },
    /// Another attempt may have run.
    Unknown,
    /// The key was used for another request.
    Conflict,
    /// The ledger, or the share of the account, is full.
    Full {
        /// Time until the next key expires, or a short retry delay if only the limit on full
        /// records is reached.
        retry_after: Duration,
    },
    /// The attempt was already settled as not run and must not run.
    Withdrawn,
    /// The claim is settled.
    Settled,
    /// The attempt does not hold a claim on the key.
    NotClaimed,
    /// The command could not be decoded.
    Invalid,
    /// The claim was applied after its timeout had passed. It is not granted and never will be.
    Late,
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandOutcome {
    /// Ledger time after the command was applied.
    pub time: Time,
    /// Reply to the command.
    pub reply: Reply,
}

impl Command {
    /// Encodes the command for the replicated log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

impl CommandOutcome {
    /// Decodes the outcome that the state machine returned for a command, or returns `None` if
    /// `bytes` is not a valid outcome.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
