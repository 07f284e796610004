//! Notifications to queued requests that another upstream has capacity.
//!
//! An instance with queued requests watches other upstreams of their pool. When a watched upstream
//! has capacity and an empty queue, its owner notifies one watching instance, once.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};

use crate::Pool;

/// Lifetime of a watch that is not renewed.
const WATCH_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of upstreams that an instance watches for one request.
const MAX_WATCHED: usize = 8;

#[derive(Debug)]
struct Watch {
    upstream: Upstream,
    pool: Pool,
    until: Instant,
}

/// Upstreams that this instance watches.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    watches: Vec<Watch>,
}

impl Watches {
    /// Starts watching the first upstreams of `order` for a request that is queued at `queued_at`.
    /// Returns those that were not watched already.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        order: &[Upstream],
        queued_at: &Upstream,
        pool: &Pool,
    ) -> Vec<Upstream> {
        self.watches.retain(|watch| watch.until > now);
        let others = order.iter().filter(|upstream| *upstream != queued_at).take(MAX_WATCHED);
        let is_new = |upstream: &&Upstream| {
            let mut known = self.watches.iter();
            !known.any(|watch| watch.upstream == **upstream && watch.pool == *pool)
        };
        let begun: Vec<_> = others.filter(is_new).cloned().collect();
        self.watches.extend(begun.iter().map(|upstream| Watch {
            upstream: upstream.clone(),
            pool: pool.clone(),
            until: now + WATCH_LIFETIME,
        }));
        begun
    }

    /// Removes the watch on `upstream`, which ends when the owner reports capacity.
    pub(crate) fn end(&mut self, upstream: &Upstream, pool: &Pool) {
        self.watches.retain(|watch| watch.upstream != *upstream || watch.pool != *pool);
    }
}

#[derive(Debug)]
struct Watcher {
    instance: Instance,
    pool: Pool,
    until: Instant,
}

/// Instances that watch one upstream, in the order of their last registration.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    watchers: Vec<Watcher>,
}

impl Watchers {
    pub(crate) fn add(&mut self, now: Instant, instance: &Instance, pool: Pool) {
        let until = now + WATCH_LIFETIME;
        self.watchers.retain(|watcher| watcher.instance != *instance || watcher.pool != pool);
        self.watchers.push(Watcher { instance: instance.clone(), pool, until });
    }

    /// Removes expired watchers and returns the pool of the first remaining one.
    pub(crate) fn first_pool(&mut self, now: Instant) -> Option<Pool> {
        self.watchers.retain(|watcher| watcher.until > now);
        self.watchers.first().map(|watcher| watcher.pool.clone())
    }

    /// Removes the first watcher and returns it, to be notified.
    pub(crate) fn take_first(&mut self) -> Option<(Instance, Pool)> {
        let first = (!self.watchers.is_empty()).then(|| self.watchers.remove(0));
        first.map(|Watcher { instance, pool, .. }| (instance, pool))
    }
}
