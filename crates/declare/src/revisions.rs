//! The replicated state machine that numbers and stores revisions.

use serde::{Deserialize, Serialize};
use state::{Index, Machine};

use crate::answered_orders::AnsweredOrders;
use crate::{
    Apply, Cause, Command, Document, Entry, History, Mark, Origin, Outcome, Revision, Rollback,
    WinningRevision,
};

/// Prefix that separates the hashes of rollbacks from the hashes of content.
const ROLLBACK_CONTEXT: &[u8] = b"rollback";

/// Replicated state machine with the newest revision and the bounded history of earlier revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    revision: Revision,
    document: Document,
    history: History,
    answered_orders: AnsweredOrders,
}

impl Revisions {
    /// Returns the number of the newest committed revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the content of the newest revision.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the history with the audit trail.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the content of `revision` if the history holds it.
    pub fn content(&self, revision: Revision) -> Option<Document> {
        self.history.content(revision, self.revision, &self.document)
    }

    /// Executes `command`. A retry of an answered order returns the first outcome.
    pub fn execute(&mut self, command: Command) -> Outcome {
        match command {
            Command::Apply(apply) => {
                let (origin, mark) = (apply.origin.clone(), apply.mark);
                self.execute_once(&origin, mark, |revisions| revisions.apply_content(apply))
            }
            Command::Rollback(rollback) => {
                let to = rollback.to.0.to_le_bytes();
                let mark = Mark::of([ROLLBACK_CONTEXT, to.as_slice()]);
                let origin = rollback.origin.clone();
                self.execute_once(&origin, mark, |revisions| revisions.roll_back(rollback))
            }
            Command::Current => Outcome::Current { revision: self.revision },
        }
    }

    fn execute_once<F>(&mut self, origin: &Origin, mark: Mark, execute: F) -> Outcome
    where
        F: FnOnce(&mut Self) -> Outcome,
    {
        if let Some(outcome) = self.answered_orders.outcome(&origin.order, mark) {
            return outcome;
        }
        let outcome = execute(self);
        let is_final = !matches!(outcome, Outcome::Behind { .. } | Outcome::Malformed);
        if is_final {
            self.answered_orders.insert(origin.order.clone(), mark, outcome.clone());
        }
        outcome
    }

    fn apply_content(&mut self, apply: Apply) -> Outcome {
        if apply.base != self.revision {
            return self.conflict(apply.base);
        }
        let Some(changes) = apply.changes else {
            return Outcome::Behind { current: self.revision };
        };
        let mut document = self.document.clone();
        if !document.apply(&changes) || document.mark() != apply.mark {
            return Outcome::Malformed;
        }
        let entry = Entry {
            revision: self.revision.next(),
            origin: apply.origin,
            cause: Cause::Applied,
            mark: apply.mark,
            changes,
        };
        self.commit(document, entry, apply.base)
    }

    fn roll_back(&mut self, rollback: Rollback) -> Outcome {
        if rollback.base != self.revision {
            return self.conflict(rollback.base);
        }
        let Some(document) = self.content(rollback.to) else {
            let oldest = self.history.oldest(self.revision);
            return Outcome::Missing { oldest, current: self.revision };
        };
        let entry = Entry {
            revision: self.revision.next(),
            origin: rollback.origin,
            cause: Cause::RolledBack { to: rollback.to },
            mark: document.mark(),
            changes: self.document.changes_to(&document),
        };
        self.commit(document, entry, rollback.base)
    }

    fn conflict(&self, base: Revision) -> Outcome {
        let winner = self.history.get(base.next()).map(|entry| WinningRevision {
            revision: entry.revision,
            origin: entry.origin.clone(),
        });
        Outcome::Conflict { current: self.revision, winner }
    }

    fn commit(&mut self, document: Document, entry: Entry, base: Revision) -> Outcome {
        self.revision = entry.revision;
        self.document = document;
        self.history.push(entry, base);
        Outcome::Accepted { revision: self.revision }
    }
}

impl Machine for Revisions {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.execute(command),
            Err(_) => Outcome::Malformed,
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        match postcard::from_bytes(snapshot) {
            Ok(restored) => {
                *self = restored;
                true
            }
            Err(_) => false,
        }
    }
}
