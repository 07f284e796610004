//! Commands of operators as they stand in the replicated log, and their outcomes.

use names::Operator;
use serde::{Deserialize, Serialize};

use crate::{Change, Mark, Moment, Order, Revision};

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Makes a new revision out of new content.
    Apply(Apply),
    /// Makes a new revision out of the content of an earlier one.
    Rollback(Rollback),
    /// Changes nothing; its outcome tells the newest committed revision.
    Current,
}

/// Who gives an order, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The order's id.
    pub order: Order,
    /// The operator.
    pub operator: Operator,
    /// The time at the instance that took the order.
    pub at: Moment,
}

/// Makes a new revision out of new content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Who and when.
    pub origin: Origin,
    /// The revision that the content builds on.
    pub base: Revision,
    /// Hash of the whole new content.
    pub mark: Mark,
    /// What the content changes; none when the proposing instance does not have the base.
    pub changes: Option<Vec<Change>>,
}

/// Makes a new revision out of the content of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// Who and when.
    pub origin: Origin,
    /// The revision that must be the newest.
    pub base: Revision,
    /// The revision whose content comes back.
    pub to: Revision,
}

/// The revision that was accepted in place of one that lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// Its number.
    pub revision: Revision,
    /// Who and when.
    pub origin: Origin,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is the new revision.
    Accepted {
        /// The new revision's number.
        revision: Revision,
    },
    /// Its base is not the newest revision.
    Conflict {
        /// The newest revision.
        current: Revision,
        /// The revision that was built on the same base, while the history holds it.
        winner: Option<Winner>,
    },
    /// Its order id was used for other content.
    Reused,
    /// The revision to go back to is not in the history.
    Missing {
        /// The oldest revision in the history.
        oldest: Revision,
        /// The newest revision.
        current: Revision,
    },
    /// The proposing instance was behind the base, which is the newest revision.
    Behind {
        /// The newest revision.
        current: Revision,
    },
    /// The bytes are no command, or its changes do not fit the base.
    Malformed,
    /// Nothing was to be changed.
    Current {
        /// The newest revision.
        revision: Revision,
    },
}
