//! Shares of client accounts at upstreams and in the queues of an instance.
//!
//! With `direct.fair_shares`, an instance of a large fleet names the accounts of its requests to load
//! trackers. The load tracker of an upstream decides whether a request is over the share of its account
//! there. The queue of a service orders accounts by the work that they were given.

use std::time::Instant;

use forward::{AccountCounts, FairShares, QueuedWork, ShareCounts, ShareDecision};
use names::{Instance, Upstream};
use rand::RngExt;
use stakker::CX;
use telemetry::Event;
use xxhash_rust::xxh3::xxh3_64;

use super::active_request::ActiveRequest;
use super::tracker_queries::{UpstreamSearch, max_utilisation};
use super::{Forwarder, problems};

/// An upstream at which a request is over the share of its account.
pub(super) struct OverShare {
    upstream: Upstream,
    counts: ShareCounts,
}

/// Number of an account in messages, which is none for requests without an account. A collision of two
/// accounts only makes them share a place.
type AccountKey = Option<u32>;

/// Largest number of tokens that one request is counted with, regardless of what its caller states.
const MAX_TOKENS: u64 = 1 << 32;

impl Forwarder {
    /// Returns the account of a request for a query to a load tracker, or `None` if it has none or
    /// accounts have no shares.
    pub(super) fn account_key(&self, id: names::Request) -> AccountKey {
        let index = self.find(id).ok().filter(|_| self.settings.direct.fair_shares)?;
        self.requests[index].account_key()
    }

    /// Returns the requests of this instance at `upstream` by account, or nothing if accounts have no
    /// shares.
    pub(super) fn account_counts(&self, upstream: &Upstream) -> AccountCounts {
        let mut counts = AccountCounts::default();
        if !self.settings.direct.fair_shares {
            return counts;
        }
        for active in &self.requests {
            let is_running =
                active.running.as_ref().is_some_and(|running| running.upstream == *upstream);
            let is_reserved = active
                .search
                .as_ref()
                .is_some_and(|search| search.reserved().any(|reserved| reserved == upstream));
            counts.add(active.account_key(), u32::from(is_running) + u32::from(is_reserved));
        }
        counts.keep_largest();
        counts
    }

    /// Decides, as the load tracker of an upstream, whether a request of `sender` is over the share of
    /// its account. Returns the numbers that the decision is based on if it is. The request is not
    /// counted at the upstream then. `of_sender` has the requests that the sender names.
    pub(super) fn check_share(
        &mut self,
        now: Instant,
        sender: &Instance,
        upstream: u32,
        account: AccountKey,
        of_sender: &AccountCounts,
    ) -> Option<ShareCounts> {
        // The sender may have other settings, or name only its largest accounts.
        if !self.settings.direct.fair_shares || of_sender.of(account) == 0 {
            return None;
        }
        let count = self.table.request_count_by_short_hash(upstream)?;
        let slots = count.slots;
        let max_utilisation = max_utilisation(self.has_engine(count.service));
        let mut counts = self.load_counter.accounts(now, upstream);
        self.competing_accounts.add_to(now, upstream, &mut counts);
        let requests = self.load_counter.requests(now, upstream);
        match (FairShares { slots, max_utilisation }).decide(account, requests, &counts) {
            ShareDecision::Granted => None,
            ShareDecision::Competing | ShareDecision::NoPlace => {
                self.competing_accounts.record(now, upstream, account);
                None
            }
            ShareDecision::OverShare(counts) => {
                self.load_counter.withdraw(sender, upstream, account);
                Some(counts)
            }
        }
    }

    /// Releases the place of a request at `upstream`, where it is over the share of its account.
    pub(super) fn record_over_share(
        &mut self,
        now: Instant,
        id: names::Request,
        upstream: &Upstream,
        counts: ShareCounts,
    ) {
        let search = self.active(id).and_then(|active| active.search.as_mut());
        let Some(search) = search else {
            return;
        };
        search.over_share.push(OverShare { upstream: upstream.clone(), counts });
        let tokens = search.tokens;
        self.release(now, id, upstream, tokens);
    }

    /// Records that the request at `index` is sent to an upstream, for the order and the speed of the
    /// queue of its service.
    pub(super) fn record_start(&mut self, now: Instant, index: usize) {
        if self.settings.direct.fair_shares {
            let active = &self.requests[index];
            let has_engine = self.has_engine(&active.service);
            let (work, service) = (active.queued_work(has_engine), active.service.clone());
            let traffic = self.traffic(&service);
            traffic.queue.record_start(&work);
            traffic.start_rate.record(now);
        }
    }

    /// Returns whether a queued request cannot use all upstreams, so that others behind it may use the
    /// ones that it has tried. Without shares of accounts, arrivals do not wait behind it.
    pub(super) fn excludes_upstreams(&mut self, id: names::Request) -> bool {
        let has_shares = self.settings.direct.fair_shares;
        self.active(id).is_some_and(|active| has_shares && !active.tried.is_empty())
    }

    /// Refuses a queued request that cannot leave the queue in time, by the recent rate of starts. A
    /// request that waited before stays, one that may have run, and one whose response has begun.
    pub(super) fn refuse_at_once(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let has_shares = self.settings.direct.fair_shares;
        let Some(active) = self.active(id).filter(|_| has_shares) else {
            return;
        };
        let until = active.queue_until.min(active.deadline);
        let service = active.service.clone();
        let has_waited = std::mem::replace(&mut active.has_waited, true);
        if has_waited || active.is_started || active.unsent.is_none() {
            return;
        }
        let traffic = self.traffic(&service);
        let Some(ahead) = traffic.queue.items().iter().position(|item| *item == id) else {
            return;
        };
        if !traffic.start_rate.is_too_slow(now, ahead, until) {
            return;
        }
        traffic.queue.remove(&id);
        let random = rand::rng().random();
        let problem = self.active(id).and_then(|active| {
            let unsent = active.unsent.as_ref()?;
            Some(problems::full_queue(unsent, now, active.deadline, random))
        });
        if let Some(problem) = problem {
            self.metrics.relay.refused_at_once.inc();
            self.refuse(now, id, problem);
        }
        self.finish(cx, id);
        self.update_queue_timer(cx);
    }

    /// Counts a request whose search has met upstreams at which it is over the share of its account,
    /// and logs it if the search found no other upstream.
    pub(super) fn count_over_share(
        &mut self,
        id: names::Request,
        search: &UpstreamSearch,
        is_placed: bool,
    ) {
        let Some(OverShare { upstream, counts }) = search.over_share.last() else {
            return;
        };
        self.metrics.relay.over_share.inc();
        let Some(active) = self.active(id).filter(|_| !is_placed) else {
            return;
        };
        let account = active.account.as_ref().map(|account| account.to_string());
        Event::OverShare {
            request: active.metadata.id.clone(),
            account: account.unwrap_or_default(),
            service: active.service.to_string(),
            upstream: upstream.to_string(),
            requests: counts.requests,
            of_account: counts.of_account,
            accounts: counts.accounts,
        }
        .write();
    }
}

impl ActiveRequest {
    /// Returns the work of the request for the queue of its service. Only engines read prompts.
    pub(super) fn queued_work(&self, has_engine: bool) -> QueuedWork {
        let prompt = self.metadata.prompt.iter().filter(|_| has_engine);
        let parts = prompt.flat_map(|prompt| &prompt.parts);
        let tokens = parts.map(|part| part.tokens).fold(0, u64::saturating_add);
        QueuedWork {
            rank: self.rank,
            account: self.account.clone(),
            tokens: tokens.clamp(1, MAX_TOKENS),
        }
    }

    fn account_key(&self) -> AccountKey {
        self.account.as_ref().map(|account| xxh3_64(account.as_str().as_bytes()) as u32)
    }
}

impl UpstreamSearch {
    /// Returns the upstreams at which a place is reserved.
    pub(super) fn reserved(&self) -> impl Iterator<Item = &Upstream> {
        let is_released =
            |upstream: &&Upstream| self.over_share.iter().any(|over| over.upstream == **upstream);
        self.tracker_search.asked().filter(move |upstream| !is_released(upstream))
    }
}
