//! The way of one request along the upstreams of its conversation.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};

use crate::seen::Seen;
use crate::{Ask, Context, Evidence, Load, Pool, Wanted};

/// Time between two walks while the request waits at an upstream.
const RETRY_PERIOD: Duration = Duration::from_millis(200);

/// Pause before the walk starts anew after no owner gave a usable answer.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the load that an owner told counts as evidence: what ran there may have ended since,
/// and run elsewhere.
const SEEN_VALIDITY: Duration = Duration::from_millis(50);

/// An ask that has no final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Pending {
    pub(crate) number: u64,
    pub(crate) owner: Instance,
    pub(crate) upstream: Upstream,
    pub(crate) deadline: Instant,
}

/// What a walk does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// Asks the owner of this upstream.
    Ask { upstream: Upstream, evidence: Option<Evidence>, may_wait: bool },
    /// Waits, until [`Walk::resume_at`] at most.
    Rest,
}

impl Next {
    /// Asks for the room at `upstream`.
    pub(crate) fn asking(upstream: Upstream) -> Self {
        Self::Ask { upstream, evidence: None, may_wait: false }
    }
}

/// One request on its walk.
#[derive(Debug)]
pub(crate) struct Walk {
    pub(crate) request: u64,
    pub(crate) wanted: Wanted,
    /// The first of all upstreams that could have the conversation's context.
    pub(crate) home: Upstream,
    pub(crate) order: Vec<Upstream>,
    position: usize,
    seen: Vec<Seen>,
    /// Time that the request had when it began.
    pub(crate) allowance: Duration,
    has_asked_to_wait: bool,
    /// The ask that is on its way.
    pub(crate) asked: Option<Pending>,
    /// The ask that waits in a queue.
    pub(crate) waiting: Option<Pending>,
    pub(crate) resume_at: Instant,
}

impl Walk {
    pub(crate) fn new(
        now: Instant,
        request: u64,
        wanted: Wanted,
        home: Upstream,
        order: Vec<Upstream>,
    ) -> Self {
        let allowance = wanted.deadline.saturating_duration_since(now);
        Self {
            request,
            wanted,
            home,
            order,
            position: 0,
            seen: Vec::new(),
            allowance,
            has_asked_to_wait: false,
            asked: None,
            waiting: None,
            resume_at: now,
        }
    }

    /// What the mean load is taken over.
    pub(crate) fn pool(&self) -> Pool {
        Pool::from(self.wanted.target.clone())
    }

    /// Whether the request waits elsewhere, asks nobody, and `upstream` could answer it.
    pub(crate) fn could_go(&self, upstream: &Upstream, pool: &Pool) -> bool {
        let waits = self.waiting.as_ref().is_some_and(|waiting| waiting.upstream != *upstream);
        waits && self.asked.is_none() && self.order.contains(upstream) && self.pool() == *pool
    }

    /// Takes note that the owner of an upstream answered full.
    pub(crate) fn see(&mut self, seen: Seen) {
        self.seen.retain(|other| other.upstream != seen.upstream);
        self.seen.push(seen);
    }

    /// Asks at once to wait at the least loaded of `seen`, which are all upstreams. What was seen
    /// is too old for the mean.
    pub(crate) fn skip(&mut self, seen: Vec<Seen>) -> Next {
        self.position = self.order.len();
        self.seen = seen;
        let least = self.least_loaded();
        self.seen.clear();
        self.has_asked_to_wait = true;
        least.map_or(Next::Rest, |upstream| Next::Ask { upstream, evidence: None, may_wait: true })
    }

    /// The next step when no ask is on its way.
    pub(crate) fn next(&mut self, context: Context<'_>) -> Next {
        if self.waiting.is_some() {
            return self.try_another(context);
        }
        if let Some(upstream) = self.order.get(self.position).cloned() {
            self.position += 1;
            return Next::asking(upstream);
        }
        if !self.has_asked_to_wait
            && let Some(upstream) = self.least_loaded()
        {
            self.has_asked_to_wait = true;
            let evidence = Some(self.evidence(context));
            return Next::Ask { upstream, evidence, may_wait: true };
        }
        self.restart(context.now)
    }

    /// While the request waits, looks for room elsewhere from time to time, and brings the least
    /// loaded owner the sum of what it saw.
    fn try_another(&mut self, context: Context<'_>) -> Next {
        let now = context.now;
        if now < self.resume_at {
            return Next::Rest;
        }
        if let Some(upstream) = self.order.get(self.position).cloned() {
            self.position += 1;
            return Next::asking(upstream);
        }
        self.position = 0;
        self.resume_at = now + RETRY_PERIOD;
        let evidence = self.evidence(context);
        let least = self.least_loaded();
        self.seen.clear();
        match least {
            Some(upstream) => Next::Ask { upstream, evidence: Some(evidence), may_wait: false },
            None => Next::Rest,
        }
    }

    /// Takes note that the request waits in a queue now.
    pub(crate) fn rest_in_queue(&mut self, now: Instant, pending: Pending) {
        self.waiting = Some(pending);
        self.position = 0;
        self.seen.clear();
        self.resume_at = now + RETRY_PERIOD;
    }

    /// Begins the walk anew after a pause, with upstreams as they are known then.
    pub(crate) fn restart(&mut self, now: Instant) -> Next {
        self.position = self.order.len();
        self.has_asked_to_wait = true;
        self.waiting = None;
        self.resume_at = now + PAUSE;
        Next::Rest
    }

    /// Whether the walk waits to begin anew.
    pub(crate) fn is_over(&self) -> bool {
        self.asked.is_none() && self.waiting.is_none()
    }

    /// The upstream with the fewest requests for its slots; the first on the walk among equals.
    fn least_loaded(&self) -> Option<Upstream> {
        let load = |seen: &&Seen| {
            let requests = u64::from(seen.load.load.all() + seen.waiting);
            requests * 1000 / u64::from(seen.load.slots.max(1))
        };
        self.seen.iter().min_by_key(load).map(|seen| seen.upstream.clone())
    }

    /// The load of the upstreams that can take the request, as far as it was seen lately. Those
    /// that failed it or are drained have no part in its mean. A walk that waited for a silent
    /// owner on its way saw loads of different times, which together may be more than there ever
    /// was at once.
    fn evidence(&self, context: Context<'_>) -> Evidence {
        let available = context.registry.available(&self.wanted.target);
        let usable =
            available.filter(|entry| !self.wanted.tried.contains(&entry.announcement.upstream));
        usable.fold(Evidence::default(), |sum, entry| {
            let load = self.load_seen(context.now, &entry.announcement.upstream);
            Evidence {
                load: sum.load.combine(load, |one, other| one + other),
                slots: sum.slots + entry.announcement.slots,
            }
        })
    }

    /// The load of `upstream`; none when it was not seen lately.
    fn load_seen(&self, now: Instant, upstream: &Upstream) -> Load {
        let is_recent = |seen: &&Seen| now.saturating_duration_since(seen.at) <= SEEN_VALIDITY;
        let seen = self.seen.iter().find(|seen| seen.upstream == *upstream).filter(is_recent);
        seen.map_or(Load::default(), |seen| seen.load.load)
    }

    /// The ask for `next`.
    pub(crate) fn ask(
        &self,
        now: Instant,
        number: u64,
        upstream: Upstream,
        evidence: Option<Evidence>,
        may_wait: bool,
    ) -> Ask {
        let wanted = &self.wanted;
        let remaining = wanted.deadline.saturating_duration_since(now);
        Ask {
            number,
            upstream,
            pool: self.pool(),
            account: wanted.account.clone(),
            weight: wanted.weight,
            kind: wanted.kind.clone(),
            rank: wanted.rank,
            least_share_percent: wanted.least_share_percent,
            remaining_millis: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            cost: wanted.cost,
            evidence,
            may_wait,
        }
    }
}
