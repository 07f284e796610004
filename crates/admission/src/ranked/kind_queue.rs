//! Queue of the waiting requests of one kind of work.

use std::time::Instant;

use declare::Rank;
use names::Kind;

use super::service_time::ServiceTime;
use crate::accounts::AccountId;
use crate::{RequestId, Tokens};

/// Number of credit units per token. The unit is one percent of a token because shares are given in
/// percent.
const CREDIT_UNITS_PER_TOKEN: i64 = 100;

/// Waiting request in the queue of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    deadline: Instant,
    request_id: RequestId,
    cost: Tokens,
}

/// Account with waiting requests, ordered by its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingAccount {
    counter: u64,
    account: AccountId,
}

/// Waiting requests of one kind of work, with one queue per account.
#[derive(Debug)]
pub(super) struct KindQueue {
    pub(super) kind: Kind,
    pub(super) rank: Rank,
    pub(super) least_share_percent: u32,
    pub(super) running: u32,
    pub(super) service_time: ServiceTime,
    waiting: usize,
    waiting_tokens: u64,
    /// Tokens, in hundredths, by which the kind of work is behind its minimum share.
    credit: i64,
    /// Sorted in descending order.
    waiting_accounts: Vec<WaitingAccount>,
    /// Indexed by account id. Each queue is sorted with the latest deadline first.
    queues: Vec<Vec<QueuedRequest>>,
}

impl KindQueue {
    pub(super) fn new(kind: Kind, rank: Rank) -> Self {
        Self {
            kind,
            rank,
            least_share_percent: 0,
            running: 0,
            service_time: ServiceTime::default(),
            waiting: 0,
            waiting_tokens: 0,
            credit: 0,
            waiting_accounts: Vec::new(),
            queues: Vec::new(),
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the total cost of all waiting requests in tokens.
    pub(super) fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    fn queue(&self, account: AccountId) -> &[QueuedRequest] {
        self.queues.get(account.index()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether the queue has requests of `account`.
    pub(super) fn has_requests_of(&self, account: AccountId) -> bool {
        !self.queue(account).is_empty()
    }

    /// Returns the total cost in tokens of the account's requests with a deadline at or before
    /// `deadline`.
    pub(super) fn tokens_before(&self, account: AccountId, deadline: Instant) -> u64 {
        let queue = self.queue(account);
        let first = queue.partition_point(|queued| queued.deadline > deadline);
        queue[first..].iter().map(|queued| queued.cost.0).sum()
    }

    /// Adds a waiting request of an account with the counter value `counter`.
    pub(super) fn push(
        &mut self,
        account: AccountId,
        counter: u64,
        deadline: Instant,
        request_id: RequestId,
        cost: Tokens,
    ) {
        if self.queues.len() <= account.index() {
            self.queues.resize_with(account.index() + 1, Vec::new);
        }
        let queued = QueuedRequest { deadline, request_id, cost };
        let queue = &mut self.queues[account.index()];
        let index = queue.partition_point(|other| *other > queued);
        queue.insert(index, queued);
        if queue.len() == 1 {
            self.insert_account(WaitingAccount { counter, account });
        }
        self.waiting += 1;
        self.waiting_tokens += cost.0;
    }

    /// Removes a waiting request of an account with the counter value `counter`.
    pub(super) fn remove(
        &mut self,
        account: AccountId,
        counter: u64,
        deadline: Instant,
        request_id: RequestId,
    ) {
        let Some(queue) = self.queues.get_mut(account.index()) else {
            return;
        };
        let first = queue.partition_point(|other| other.deadline > deadline);
        let found = queue[first..].iter().position(|queued| queued.request_id == request_id);
        let Some(offset) = found else {
            return;
        };
        let queued = queue.remove(first + offset);
        self.waiting -= 1;
        self.waiting_tokens -= queued.cost.0;
        if self.queues[account.index()].is_empty() {
            self.remove_account(WaitingAccount { counter, account });
            self.queues[account.index()] = Vec::new();
        }
    }

    fn insert_account(&mut self, entry: WaitingAccount) {
        let index = self.waiting_accounts.partition_point(|other| *other > entry);
        self.waiting_accounts.insert(index, entry);
    }

    fn remove_account(&mut self, entry: WaitingAccount) {
        if let Ok(index) = self.waiting_accounts.binary_search_by(|other| entry.cmp(other)) {
            self.waiting_accounts.remove(index);
        }
    }

    /// Updates the position of an account after its counter changed from `old` to `new`.
    pub(super) fn move_account(&mut self, account: AccountId, old: u64, new: u64) {
        if self.has_requests_of(account) && old != new {
            self.remove_account(WaitingAccount { counter: old, account });
            self.insert_account(WaitingAccount { counter: new, account });
        }
    }

    /// Returns the smallest counter of the accounts with waiting requests.
    pub(super) fn min_counter(&self) -> Option<u64> {
        self.waiting_accounts.last().map(|entry| entry.counter)
    }

    /// Returns the request to run next: the one with the earliest deadline of the account with the
    /// smallest counter.
    pub(super) fn next_request(&self) -> Option<RequestId> {
        let entry = self.waiting_accounts.last()?;
        self.queue(entry.account).last().map(|queued| queued.request_id)
    }

    /// Returns the request to evict first: the one with the latest deadline of the account with the
    /// longest queue.
    pub(super) fn eviction_candidate(&self) -> Option<RequestId> {
        let length = |entry: &&WaitingAccount| self.queue(entry.account).len();
        let longest = self.waiting_accounts.iter().max_by_key(length)?;
        self.queue(longest.account).first().map(|queued| queued.request_id)
    }

    /// Returns whether the kind of work has waiting requests and is below its minimum share of
    /// `slot_count` slots.
    pub(super) fn is_below_min_share(&self, slot_count: u32) -> bool {
        let slots = self.least_share_percent * slot_count / 100;
        self.waiting > 0 && (self.running < slots || self.credit > 0)
    }

    /// Returns the tokens, in hundredths, by which the kind of work is behind its minimum share.
    pub(super) fn credit(&self) -> i64 {
        self.credit
    }

    /// Returns the number of places that a queue of `limit` places reserves for the kind of work.
    pub(super) fn reserved_places(&self, limit: usize) -> usize {
        if self.least_share_percent == 0 {
            return 0;
        }
        (limit * self.least_share_percent as usize / 100).max(1)
    }

    /// Adds the credit for `tokens` tokens of any kind of work that the upstream serves. Without
    /// waiting requests the credit only rises to zero, so that an excess is compensated but no
    /// credit accumulates.
    pub(super) fn add_credit(&mut self, tokens: i64) {
        self.credit += tokens * i64::from(self.least_share_percent);
        if self.waiting == 0 {
            self.credit = self.credit.min(0);
        }
    }

    /// Charges `tokens` served tokens of this kind of work. The excess is limited to the cost of
    /// this request.
    pub(super) fn charge_credit(&mut self, tokens: i64) {
        let spent = tokens * CREDIT_UNITS_PER_TOKEN;
        self.credit = (self.credit - spent).max(-spent.abs());
    }
}
