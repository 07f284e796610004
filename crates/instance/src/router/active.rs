//! Requests that are not answered yet.

use std::time::Instant;

use dispatch::Cancel;
use entry::Reply;
use names::{Attempt, Upstream};
use stakker::Fwd;

use super::answer::Answer;
use super::route::Route;
use crate::placer::Permit;

/// The attempt that is running.
pub(super) struct Calling {
    pub(super) attempt: Attempt,
    pub(super) permit: Permit,
    pub(super) cancel: Cancel,
    pub(super) answer: Answer,
}

/// One request that is not answered yet.
pub(super) struct Active {
    pub(super) id: names::Request,
    pub(super) arrived: Instant,
    pub(super) route: Route,
    pub(super) reply: Fwd<Reply>,
    pub(super) tried: Vec<Upstream>,
    pub(super) calling: Option<Calling>,
    pub(super) has_answered: bool,
}

impl Active {
    pub(super) fn new(
        id: names::Request,
        arrived: Instant,
        route: Route,
        reply: Fwd<Reply>,
    ) -> Self {
        Self { id, arrived, route, reply, tried: Vec::new(), calling: None, has_answered: false }
    }
}
