//! Waiting requests by ticket and by the latest time at which they may start.

use std::time::Instant;

use super::accounts::AccountId;
use crate::{Ticket, Tokens};

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) lane: usize,
    pub(super) account: AccountId,
    pub(super) deadline: Instant,
    pub(super) latest_start: Instant,
    pub(super) cost: Tokens,
}

/// All waiting requests of a desk.
#[derive(Debug, Default)]
pub(super) struct Store {
    by_ticket: Vec<Waiting>,
    by_latest_start: Vec<(Instant, Ticket)>,
}

impl Store {
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.by_ticket.binary_search_by(|waiting| waiting.ticket.cmp(&ticket))
    }

    pub(super) fn insert(&mut self, waiting: Waiting) {
        let Err(index) = self.find(waiting.ticket) else {
            return;
        };
        self.by_ticket.insert(index, waiting);
        let key = (waiting.latest_start, waiting.ticket);
        let index = self.by_latest_start.partition_point(|other| *other > key);
        self.by_latest_start.insert(index, key);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let index = self.find(ticket).ok()?;
        let waiting = self.by_ticket.remove(index);
        let key = (waiting.latest_start, ticket);
        if let Ok(index) = self.by_latest_start.binary_search_by(|other| key.cmp(other)) {
            self.by_latest_start.remove(index);
        }
        Some(waiting)
    }

    /// A request that can no longer end in time when it starts at `now`.
    pub(super) fn late(&self, now: Instant) -> Option<Ticket> {
        let (latest_start, ticket) = self.by_latest_start.last()?;
        (*latest_start <= now).then_some(*ticket)
    }
}
