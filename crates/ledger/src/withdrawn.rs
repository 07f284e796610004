//! Attempts that were declared as not run.

use std::collections::VecDeque;

use names::Attempt;
use serde::{Deserialize, Serialize};

/// Most attempts that are remembered.
const MAX_WITHDRAWN: usize = 1024;

/// The latest withdrawn attempts, so that a delayed claim of one of them is not granted.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Withdrawn {
    attempts: VecDeque<Attempt>,
}

impl Withdrawn {
    pub(crate) fn contains(&self, attempt: Attempt) -> bool {
        self.attempts.contains(&attempt)
    }

    pub(crate) fn insert(&mut self, attempt: Attempt) {
        if self.contains(attempt) {
            return;
        }
        if self.attempts.len() == MAX_WITHDRAWN {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }
}
