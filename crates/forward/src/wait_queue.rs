//! Queue of requests that wait for an upstream with capacity.

use std::time::Instant;

use admission::{AccountId, Accounts};
use names::ClientAccount;

/// Weight of every account. The document names none.
const WEIGHT: u32 = 1;

/// Work that a queue decides about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedWork {
    /// Rank of the request. The lowest goes first.
    pub rank: u8,
    /// Client account of the request, or `None` for all requests without an account.
    pub account: Option<ClientAccount>,
    /// Estimated tokens of the request, or 1 for a request without a prompt.
    pub tokens: u64,
}

struct Entry<T> {
    rank: u8,
    until: Instant,
    item: T,
    /// Account and tokens of the request, in a queue with shares.
    share: Option<(AccountId, u64)>,
}

/// The accounts of one rank, whose numbers of tokens are counted apart from those of other ranks.
struct RankAccounts {
    rank: u8,
    accounts: Accounts<Option<ClientAccount>, 1>,
}

/// Priority queue in which the lowest rank goes first, and the earliest arrival within a rank. The
/// queue absorbs short bursts that exceed the capacity of the upstreams.
///
/// In a queue with shares, the account that was given the least work goes first within a rank, and
/// within the account the earliest arrival. The work that accounts were given while no other one
/// waited does not count, so that idle accounts earn no credit.
pub struct WaitQueue<T> {
    /// Sorted by rank, and by arrival within a rank.
    entries: Vec<Entry<T>>,
    /// The accounts of each rank, in a queue with shares.
    shares: Option<Vec<RankAccounts>>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), shares: None }
    }
}

impl<T> WaitQueue<T>
where
    T: Clone + PartialEq,
{
    /// Creates a queue that gives client accounts equal shares.
    pub fn with_shares() -> Self {
        Self { entries: Vec::new(), shares: Some(Vec::new()) }
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds `item`, which expires at `until`. A queue with shares takes it as one token of a request
    /// without an account.
    pub fn push(&mut self, rank: u8, until: Instant, item: T) {
        self.push_work(&QueuedWork { rank, account: None, tokens: 1 }, until, item);
    }

    /// Adds `item`, which is the request of `work` and expires at `until`.
    pub fn push_work(&mut self, work: &QueuedWork, until: Instant, item: T) {
        let share = self.accounts(work.rank).map(|accounts| {
            let account = accounts.get_or_insert(&work.account, WEIGHT);
            accounts.add_waiting(account, 0);
            (account, work.tokens)
        });
        let index = self.entries.partition_point(|entry| entry.rank <= work.rank);
        self.entries.insert(index, Entry { rank: work.rank, until, item, share });
    }

    /// Records that a request is sent to an upstream, whether it was queued or not.
    pub fn record_start(&mut self, work: &QueuedWork) {
        let waiting: Vec<AccountId> = self
            .entries
            .iter()
            .filter(|entry| entry.rank == work.rank)
            .filter_map(|entry| Some(entry.share?.0))
            .collect();
        let Some(accounts) = self.accounts(work.rank) else {
            return;
        };
        let account = accounts.get_or_insert(&work.account, WEIGHT);
        if !waiting.contains(&account) {
            accounts.raise_to_floor(account, 0);
        }
        let min_counter = waiting.iter().map(|other| accounts.counter(*other, 0)).min();
        accounts.start(account, 0, min_counter, work.tokens);
        accounts.finish(account, 0, work.tokens, work.tokens);
    }

    /// Returns the accounts of `rank` in a queue with shares.
    fn accounts(&mut self, rank: u8) -> Option<&mut Accounts<Option<ClientAccount>, 1>> {
        let ranks = self.shares.as_mut()?;
        let index = match ranks.binary_search_by_key(&rank, |entry| entry.rank) {
            Ok(index) => index,
            Err(index) => {
                ranks.insert(index, RankAccounts { rank, accounts: Accounts::default() });
                index
            }
        };
        Some(&mut ranks[index].accounts)
    }

    /// Returns all items in the order of the queue.
    pub fn items(&self) -> Vec<T> {
        let of_ranks = self.entries.chunk_by(|left, right| left.rank == right.rank);
        of_ranks.flat_map(|entries| self.order(entries)).map(|entry| entry.item.clone()).collect()
    }

    /// Returns the entries of one rank in the order of the queue. Each entry is counted as started
    /// for the order of those behind it.
    fn order<'a>(&self, entries: &'a [Entry<T>]) -> Vec<&'a Entry<T>> {
        let rank = entries.first().map(|entry| entry.rank);
        let ranks = self.shares.iter().flatten();
        let Some(shares) = ranks.into_iter().find(|shares| Some(shares.rank) == rank) else {
            return entries.iter().collect();
        };
        let accounts = &shares.accounts;
        // Virtual tokens of each account with waiting requests.
        let mut counters: Vec<(AccountId, u64)> = Vec::new();
        let mut order: Vec<(u64, usize)> = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let Some((account, tokens)) = entry.share else {
                order.push((0, index));
                continue;
            };
            let found = counters.iter().position(|counter| counter.0 == account);
            let found = found.unwrap_or_else(|| {
                counters.push((account, accounts.counter(account, 0)));
                counters.len() - 1
            });
            order.push((counters[found].1, index));
            let charge = accounts.charge(account, tokens).max(1);
            counters[found].1 = counters[found].1.saturating_add(charge);
        }
        order.sort();
        order.into_iter().map(|(_, index)| &entries[index]).collect()
    }

    /// Removes `item` from the queue.
    pub fn remove(&mut self, item: &T) {
        self.extract(|entry| entry.item == *item);
    }

    /// Removes and returns the items that have expired at `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.extract(|entry| entry.until <= now).into_iter().map(|entry| entry.item).collect()
    }

    fn extract<F>(&mut self, mut is_removed: F) -> Vec<Entry<T>>
    where
        F: FnMut(&Entry<T>) -> bool,
    {
        let removed: Vec<Entry<T>> =
            self.entries.extract_if(.., |entry| is_removed(entry)).collect();
        for entry in &removed {
            if let (Some((account, _)), Some(accounts)) = (entry.share, self.accounts(entry.rank)) {
                accounts.remove_waiting(account, 0);
            }
        }
        removed
    }

    /// Returns the earliest time at which an item expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.until).min()
    }
}
