//! Fair shares of client accounts at an upstream.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of accounts that an instance names for an upstream, so that its message fits in a
/// datagram. An instance of a large fleet mostly has none to two requests at an upstream.
pub const MAX_ACCOUNTS: usize = 16;

/// Time for which an account that asked for a place beyond the slots counts among those that share an
/// upstream. Callers that were refused, or that send one request after another, return within it.
/// Without it, an account that has no request there at the moment would not be noticed beside one that
/// has all places.
const COMPETITOR_TTL: Duration = Duration::from_secs(3);

/// Number of requests that a client account has at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountRequests {
    /// Short hash of the name of the account, or `None` for all requests without an account.
    pub account: Option<u32>,
    /// Number of requests.
    pub requests: u32,
}

/// Numbers of requests at an upstream by client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountCounts(Vec<AccountRequests>);

impl AccountCounts {
    /// Adds `requests` requests of an account.
    pub fn add(&mut self, account: Option<u32>, requests: u32) {
        if requests == 0 {
            return;
        }
        match self.0.iter_mut().find(|entry| entry.account == account) {
            Some(entry) => entry.requests = entry.requests.saturating_add(requests),
            None => self.0.push(AccountRequests { account, requests }),
        }
    }

    /// Adds an account that may have no requests.
    fn include(&mut self, account: Option<u32>) {
        if !self.0.iter().any(|entry| entry.account == account) {
            self.0.push(AccountRequests { account, requests: 0 });
        }
    }

    /// Adds the requests of all accounts in `other`.
    pub fn add_all(&mut self, other: &Self) {
        other.0.iter().for_each(|entry| self.add(entry.account, entry.requests));
    }

    /// Removes a request of an account.
    pub fn remove(&mut self, account: Option<u32>) {
        if let Some(entry) = self.0.iter_mut().find(|entry| entry.account == account) {
            entry.requests = entry.requests.saturating_sub(1);
        }
        self.0.retain(|entry| entry.requests > 0);
    }

    /// Keeps the [`MAX_ACCOUNTS`] accounts with the most requests, the largest first. Requests of the
    /// same number are in the order of their accounts.
    pub fn keep_largest(&mut self) {
        self.0.sort_by_key(|entry| (std::cmp::Reverse(entry.requests), entry.account));
        self.0.truncate(MAX_ACCOUNTS);
    }

    /// Returns the number of requests of an account.
    pub fn of(&self, account: Option<u32>) -> u32 {
        let found = self.0.iter().find(|entry| entry.account == account);
        found.map_or(0, |entry| entry.requests)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Numbers of requests at an upstream that a decision about a share is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareCounts {
    /// Number of all requests, including the one that is decided about.
    pub requests: u32,
    /// Number of these requests that belong to the account of that request.
    pub of_account: u32,
    /// Number of accounts that have requests or competed for places recently, including that account.
    pub accounts: u32,
}

/// Decision about a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareDecision {
    /// The upstream has a place for the request, or there is no other account.
    Granted,
    /// The upstream has a place beyond its slots, and the account is within its share.
    Competing,
    /// The account is within its share, but the upstream has no place.
    NoPlace,
    /// The account is over its share, and the places that are left are for others.
    OverShare(ShareCounts),
}

/// Places of an upstream that are left to accounts within their share. A search reserves a place at
/// two upstreams at a time, so that one of two places is often only reserved.
const PLACES_FOR_OTHERS: f64 = 2.0;

/// Divides the places of an upstream among the client accounts that have requests there.
///
/// A request is granted while there are free slots. The last [`PLACES_FOR_OTHERS`] places beyond the
/// slots are left to accounts that are within their share, which is an equal part of all places. An
/// account that is alone has all places.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShares {
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Maximum number of requests per slot.
    pub max_utilisation: f64,
}

impl FairShares {
    /// Decides about a request of `account` at an upstream with `requests` requests, of which `counts`
    /// names the accounts. Both include the request.
    pub fn decide(
        &self,
        account: Option<u32>,
        requests: u32,
        counts: &AccountCounts,
    ) -> ShareDecision {
        let of_account = counts.of(account);
        let accounts = u32::try_from(counts.len()).unwrap_or(u32::MAX);
        if requests <= self.slots.max(1) || accounts <= 1 {
            return ShareDecision::Granted;
        }
        let is_over_share = f64::from(of_account) > self.share(accounts);
        let leaves_places = f64::from(requests) + PLACES_FOR_OTHERS <= self.capacity();
        if is_over_share && !leaves_places {
            return ShareDecision::OverShare(ShareCounts { requests, of_account, accounts });
        }
        match f64::from(requests) <= self.capacity() {
            true if is_over_share => ShareDecision::Granted,
            true => ShareDecision::Competing,
            false => ShareDecision::NoPlace,
        }
    }

    /// Returns the number of requests that each of `accounts` accounts may have once only the places
    /// for others are left, at least 1.
    pub fn share(&self, accounts: u32) -> f64 {
        (self.capacity() / f64::from(accounts.max(1))).max(1.0)
    }

    fn capacity(&self) -> f64 {
        (f64::from(self.slots.max(1)) * self.max_utilisation).max(1.0)
    }
}

/// An account that asked for a place beyond the slots of an upstream.
#[derive(Debug, Clone, Copy)]
struct Competitor {
    upstream: u32,
    account: Option<u32>,
    until: Instant,
}

/// The accounts within their share that recently asked for places beyond the slots of upstreams, at the
/// load tracker of these upstreams.
#[derive(Debug, Clone, Default)]
pub struct CompetingAccounts(Vec<Competitor>);

impl CompetingAccounts {
    /// Records that an account within its share asked for a place beyond the slots of an upstream.
    pub fn record(&mut self, now: Instant, upstream: u32, account: Option<u32>) {
        let until = now + COMPETITOR_TTL;
        let is_same =
            |entry: &&mut Competitor| (entry.upstream, entry.account) == (upstream, account);
        match self.0.iter_mut().find(is_same) {
            Some(entry) => entry.until = until,
            None => self.0.push(Competitor { upstream, account, until }),
        }
    }

    /// Adds the accounts that recently competed for places of an upstream to those with requests there.
    pub fn add_to(&self, now: Instant, upstream: u32, counts: &mut AccountCounts) {
        let valid = self.0.iter().filter(|entry| entry.upstream == upstream && now < entry.until);
        valid.for_each(|entry| counts.include(entry.account));
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|entry| now < entry.until);
    }
}
