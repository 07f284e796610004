//! Responses to committed orders, held until their revision is in force at this instance.
//!
//! An operator that reads from the same instance after the response therefore sees the new revision
//! and can base the next order on it.

use std::time::{Duration, Instant};

use declare::Revision;
use operator::Response;
use stakker::{CX, after};

use super::Config;
use crate::operators::PendingRequest;

/// Maximum time that a response is held. The order is committed regardless.
const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// A response that waits for its revision to be in force.
pub(super) struct HeldResponse {
    pending: PendingRequest,
    response: Response,
    revision: Revision,
    deadline: Instant,
}

impl Config {
    /// Holds the response to an order until `revision`, which the order created, is in force.
    pub(super) fn hold_response(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        response: Response,
        revision: Revision,
    ) {
        let deadline = cx.now() + HOLD_TIMEOUT;
        self.held_responses.push(HeldResponse { pending, response, revision, deadline });
        after!(HOLD_TIMEOUT, [cx], release_expired());
    }

    /// Sends the held responses whose revision is in force.
    pub(super) fn release_held(&mut self) {
        let in_force = self.in_force;
        self.release_where(|held| held.revision <= in_force);
    }

    fn release_expired(&mut self, cx: CX![]) {
        let now = cx.now();
        self.release_where(|held| held.deadline <= now);
    }

    fn release_where<F>(&mut self, is_due: F)
    where
        F: Fn(&HeldResponse) -> bool,
    {
        for held in self.held_responses.extract_if(.., |held| is_due(held)) {
            held.pending.respond(held.response);
        }
    }
}
