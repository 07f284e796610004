//! Waiting requests, indexed by ticket and by latest start time.

use std::time::Instant;

use super::accounts::AccountId;
use crate::{RequestId, Tokens};

/// Waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) ticket: RequestId,
    /// Index of the kind queue.
    pub(super) kind_queue: usize,
    pub(super) account: AccountId,
    pub(super) deadline: Instant,
    /// Latest start at which the request is expected to meet its deadline.
    pub(super) latest_start: Instant,
    pub(super) cost: Tokens,
}

/// All waiting requests of an admission queue.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    /// Sorted by ticket.
    by_ticket: Vec<WaitingRequest>,
    /// Sorted in descending order.
    by_latest_start: Vec<(Instant, RequestId)>,
}

impl WaitingRequests {
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    fn find(&self, ticket: RequestId) -> Result<usize, usize> {
        self.by_ticket.binary_search_by(|waiting| waiting.ticket.cmp(&ticket))
    }

    pub(super) fn insert(&mut self, waiting: WaitingRequest) {
        let Err(index) = self.find(waiting.ticket) else {
            return;
        };
        self.by_ticket.insert(index, waiting);
        let key = (waiting.latest_start, waiting.ticket);
        let index = self.by_latest_start.partition_point(|other| *other > key);
        self.by_latest_start.insert(index, key);
    }

    pub(super) fn remove(&mut self, ticket: RequestId) -> Option<WaitingRequest> {
        let index = self.find(ticket).ok()?;
        let waiting = self.by_ticket.remove(index);
        let key = (waiting.latest_start, ticket);
        if let Ok(index) = self.by_latest_start.binary_search_by(|other| key.cmp(other)) {
            self.by_latest_start.remove(index);
        }
        Some(waiting)
    }

    /// Returns a request that would miss its deadline if it started at `now`.
    pub(super) fn first_late(&self, now: Instant) -> Option<RequestId> {
        let (latest_start, ticket) = self.by_latest_start.last()?;
        (*latest_start <= now).then_some(*ticket)
    }
}
