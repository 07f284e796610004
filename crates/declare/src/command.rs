//! Commands of operators in the replicated log, and their outcomes.

use names::Operator;
use serde::{Deserialize, Serialize};

use crate::{Change, Mark, Moment, Order, Revision};

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a revision from new content.
    Apply(Apply),
    /// Creates a revision with the content of an earlier revision.
    Rollback(Rollback),
    /// Reads the number of the newest committed revision.
    Current,
}

/// Origin of an order: its id, operator and time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Id of the order, which identifies retries.
    pub order: Order,
    /// Operator who sent the order.
    pub operator: Operator,
    /// Time at which an instance received the order, by the clock of that instance.
    pub at: Moment,
}

/// Command that creates a revision from new content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Origin of the order.
    pub origin: Origin,
    /// The revision that the content is based on.
    pub base: Revision,
    /// Hash of the complete new content.
    pub mark: Mark,
    /// Changes from the base to the new content; `None` if the proposing instance does not have the
    /// base.
    pub changes: Option<Vec<Change>>,
}

/// Command that creates a revision with the content of an earlier revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// Origin of the order.
    pub origin: Origin,
    /// The revision that must be the newest when the command is executed.
    pub base: Revision,
    /// The revision whose content is restored.
    pub to: Revision,
}

/// The revision that was accepted instead of a conflicting order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WinningRevision {
    /// Number of the accepted revision.
    pub revision: Revision,
    /// Origin of the order.
    pub origin: Origin,
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command created a revision.
    Accepted {
        /// Number of the new revision.
        revision: Revision,
    },
    /// The base of the command is not the newest revision.
    Conflict {
        /// Number of the newest revision.
        current: Revision,
        /// The revision that was created from the same base; `None` if the history no longer holds
        /// it.
        winner: Option<WinningRevision>,
    },
    /// The order id was already used for other content.
    Reused,
    /// The revision to restore is not in the history.
    Missing {
        /// Number of the oldest revision that can be restored.
        oldest: Revision,
        /// Number of the newest revision.
        current: Revision,
    },
    /// The base is the newest revision, but the proposing instance did not have it yet.
    Behind {
        /// Number of the newest revision.
        current: Revision,
    },
    /// The command cannot be decoded, or its changes cannot be applied to the base.
    Malformed,
    /// Result of [`Command::Current`].
    Current {
        /// Number of the newest revision.
        revision: Revision,
    },
}
