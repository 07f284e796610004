//! Answers to committed orders, held until their revision is in force at this instance.
//!
//! Who reads through the same instance after the answer sees the revision, and can build on it.

use std::time::{Duration, Instant};

use declare::Revision;
use operator::Response;
use stakker::{CX, after};

use super::Config;
use crate::operators::Ask;

/// How long an answer is held; the order is committed in any case.
const HOLD: Duration = Duration::from_secs(2);

/// An answer that waits.
pub(super) struct Held {
    ask: Ask,
    response: Response,
    revision: Revision,
    deadline: Instant,
}

impl Config {
    /// Answers an order that made `revision` once that is in force here.
    pub(super) fn hold(&mut self, cx: CX![], ask: Ask, response: Response, revision: Revision) {
        let deadline = cx.now() + HOLD;
        self.held.push(Held { ask, response, revision, deadline });
        after!(HOLD, [cx], give_up_holding());
    }

    /// Gives the answers whose revision is in force.
    pub(super) fn answer_held(&mut self) {
        let in_force = self.in_force;
        self.give(|held| held.revision <= in_force);
    }

    fn give_up_holding(&mut self, cx: CX![]) {
        let now = cx.now();
        self.give(|held| held.deadline <= now);
    }

    fn give<F>(&mut self, is_due: F)
    where
        F: Fn(&Held) -> bool,
    {
        for held in self.held.extract_if(.., |held| is_due(held)) {
            held.ask.answer(held.response);
        }
    }
}
