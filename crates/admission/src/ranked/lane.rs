//! Waiting requests of one kind of work.

use std::time::Instant;

use declare::Rank;
use names::Kind;

use super::accounts::AccountId;
use super::pace::Pace;
use crate::{Ticket, Tokens};

/// Parts of a token in which credit is counted: one percent of it.
const PARTS: i64 = 100;

/// A waiting request in the queue of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Queued {
    deadline: Instant,
    ticket: Ticket,
    cost: Tokens,
}

/// An account with waiting requests, by its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Ready {
    counter: u64,
    account: AccountId,
}

/// The queues of one kind of work, one an account, each sorted with the latest deadline first.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) kind: Kind,
    pub(super) rank: Rank,
    pub(super) least_share_percent: u32,
    pub(super) running: u32,
    pub(super) pace: Pace,
    waiting: usize,
    waiting_tokens: u64,
    credit: i64,
    ready: Vec<Ready>,
    queues: Vec<Vec<Queued>>,
}

impl Lane {
    pub(super) fn new(kind: Kind, rank: Rank) -> Self {
        Self {
            kind,
            rank,
            least_share_percent: 0,
            running: 0,
            pace: Pace::default(),
            waiting: 0,
            waiting_tokens: 0,
            credit: 0,
            ready: Vec::new(),
            queues: Vec::new(),
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Tokens of all waiting requests.
    pub(super) fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    fn queue(&self, account: AccountId) -> &[Queued] {
        self.queues.get(account.index()).map_or(&[], Vec::as_slice)
    }

    /// Whether requests of `account` wait here.
    pub(super) fn holds(&self, account: AccountId) -> bool {
        !self.queue(account).is_empty()
    }

    /// Tokens of the account's requests whose deadlines come before `deadline`.
    pub(super) fn tokens_before(&self, account: AccountId, deadline: Instant) -> u64 {
        let queue = self.queue(account);
        let first = queue.partition_point(|queued| queued.deadline > deadline);
        queue[first..].iter().map(|queued| queued.cost.0).sum()
    }

    /// Adds a waiting request of an account whose counter is `counter`.
    pub(super) fn push(
        &mut self,
        account: AccountId,
        counter: u64,
        deadline: Instant,
        ticket: Ticket,
        cost: Tokens,
    ) {
        if self.queues.len() <= account.index() {
            self.queues.resize_with(account.index() + 1, Vec::new);
        }
        let queued = Queued { deadline, ticket, cost };
        let queue = &mut self.queues[account.index()];
        let index = queue.partition_point(|other| *other > queued);
        queue.insert(index, queued);
        if queue.len() == 1 {
            self.add_ready(Ready { counter, account });
        }
        self.waiting += 1;
        self.waiting_tokens += cost.0;
    }

    /// Removes a waiting request of an account whose counter is `counter`.
    pub(super) fn remove(
        &mut self,
        account: AccountId,
        counter: u64,
        deadline: Instant,
        ticket: Ticket,
    ) {
        let Some(queue) = self.queues.get_mut(account.index()) else {
            return;
        };
        let first = queue.partition_point(|other| other.deadline > deadline);
        let found = queue[first..].iter().position(|queued| queued.ticket == ticket);
        let Some(offset) = found else {
            return;
        };
        let queued = queue.remove(first + offset);
        self.waiting -= 1;
        self.waiting_tokens -= queued.cost.0;
        if self.queues[account.index()].is_empty() {
            self.remove_ready(Ready { counter, account });
            self.queues[account.index()] = Vec::new();
        }
    }

    fn add_ready(&mut self, ready: Ready) {
        let index = self.ready.partition_point(|other| *other > ready);
        self.ready.insert(index, ready);
    }

    fn remove_ready(&mut self, ready: Ready) {
        if let Ok(index) = self.ready.binary_search_by(|other| ready.cmp(other)) {
            self.ready.remove(index);
        }
    }

    /// Moves an account with waiting requests from its old counter to its new one.
    pub(super) fn move_account(&mut self, account: AccountId, old: u64, new: u64) {
        if self.holds(account) && old != new {
            self.remove_ready(Ready { counter: old, account });
            self.add_ready(Ready { counter: new, account });
        }
    }

    /// The least counter of an account that waits here.
    pub(super) fn least_counter(&self) -> Option<u64> {
        self.ready.last().map(|ready| ready.counter)
    }

    /// The request to run next: the most urgent of the account with the least counter.
    pub(super) fn first(&self) -> Option<Ticket> {
        let ready = self.ready.last()?;
        self.queue(ready.account).last().map(|queued| queued.ticket)
    }

    /// The request to refuse first: the least urgent of the account with the longest queue.
    pub(super) fn last(&self) -> Option<Ticket> {
        let length = |ready: &&Ready| self.queue(ready.account).len();
        let longest = self.ready.iter().max_by_key(length)?;
        self.queue(longest.account).first().map(|queued| queued.ticket)
    }

    /// Whether the kind is below its least share at a desk with `room` slots.
    pub(super) fn is_owed(&self, room: u32) -> bool {
        let slots = self.least_share_percent * room / 100;
        self.waiting > 0 && (self.running < slots || self.credit > 0)
    }

    /// Tokens, in hundredths, by which the kind is behind its least share.
    pub(super) fn credit(&self) -> i64 {
        self.credit
    }

    /// Number of waiting requests that a full queue of `limit` leaves to the kind.
    pub(super) fn reserved(&self, limit: usize) -> usize {
        if self.least_share_percent == 0 {
            return 0;
        }
        (limit * self.least_share_percent as usize / 100).max(1)
    }

    /// Takes note that the upstream serves `tokens` of any kind. A kind without waiting requests
    /// makes up for an excess but gathers no credit.
    pub(super) fn earn(&mut self, tokens: i64) {
        self.credit += tokens * i64::from(self.least_share_percent);
        if self.waiting == 0 {
            self.credit = self.credit.min(0);
        }
    }

    /// Takes note that `tokens` of this kind are served. Past excess counts for one request.
    pub(super) fn spend(&mut self, tokens: i64) {
        let spent = tokens * PARTS;
        self.credit = (self.credit - spent).max(-spent.abs());
    }
}
