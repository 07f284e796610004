//! Waiting requests, indexed by request id and by latest start time.

use std::time::Instant;

use crate::accounts::AccountId;
use crate::{RequestId, Tokens};

/// Waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) request_id: RequestId,
    /// Index of the kind queue.
    pub(super) kind_queue: usize,
    pub(super) account: AccountId,
    pub(super) deadline: Instant,
    /// Latest time at which the request can start and is still expected to meet its deadline.
    pub(super) latest_start: Instant,
    pub(super) cost: Tokens,
}

/// All waiting requests of an admission queue.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    /// Sorted by request id.
    by_id: Vec<WaitingRequest>,
    /// Sorted in descending order.
    by_latest_start: Vec<(Instant, RequestId)>,
}

impl WaitingRequests {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    fn find(&self, request_id: RequestId) -> Result<usize, usize> {
        self.by_id.binary_search_by(|waiting| waiting.request_id.cmp(&request_id))
    }

    pub(super) fn insert(&mut self, waiting: WaitingRequest) {
        let Err(index) = self.find(waiting.request_id) else {
            return;
        };
        self.by_id.insert(index, waiting);
        let key = (waiting.latest_start, waiting.request_id);
        let index = self.by_latest_start.partition_point(|other| *other > key);
        self.by_latest_start.insert(index, key);
    }

    pub(super) fn remove(&mut self, request_id: RequestId) -> Option<WaitingRequest> {
        let index = self.find(request_id).ok()?;
        let waiting = self.by_id.remove(index);
        let key = (waiting.latest_start, request_id);
        if let Ok(index) = self.by_latest_start.binary_search_by(|other| key.cmp(other)) {
            self.by_latest_start.remove(index);
        }
        Some(waiting)
    }

    /// Returns a request that would miss its deadline if it started at `now`.
    pub(super) fn first_late(&self, now: Instant) -> Option<RequestId> {
        let (latest_start, request_id) = self.by_latest_start.last()?;
        (*latest_start <= now).then_some(*request_id)
    }
}
