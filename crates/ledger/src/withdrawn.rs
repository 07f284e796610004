//! Attempts that were settled as not run.

use std::collections::VecDeque;

use names::Attempt;
use serde::{Deserialize, Serialize};

/// Maximum number of withdrawn attempts that are retained.
const MAX_WITHDRAWN_ATTEMPTS: usize = 1024;

/// The latest withdrawn attempts. A delayed claim of one of them must not be granted.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WithdrawnAttempts {
    attempts: VecDeque<Attempt>,
}

impl WithdrawnAttempts {
    pub(crate) fn contains(&self, attempt: Attempt) -> bool {
        self.attempts.contains(&attempt)
    }

    pub(crate) fn insert(&mut self, attempt: Attempt) {
        if self.contains(attempt) {
            return;
        }
        if self.attempts.len() == MAX_WITHDRAWN_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }
}
