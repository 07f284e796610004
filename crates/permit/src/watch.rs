//! Requests that wait at one upstream are told when another one has room.
//!
//! An instance with waiting requests watches some upstreams of their pool. An owner tells one
//! watching instance, once, when its upstream has room and nothing waits there.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};

use crate::Pool;

/// How long a watch holds unless it is renewed.
const VALIDITY: Duration = Duration::from_secs(1);

/// Most upstreams that an instance watches for one request.
const MAX_WATCHED: usize = 8;

#[derive(Debug)]
struct Watched {
    upstream: Upstream,
    pool: Pool,
    until: Instant,
}

/// The upstreams that an instance watches.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    watched: Vec<Watched>,
}

impl Watches {
    /// Upstreams that a request waiting at `place` watches from now on and did not before.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        order: &[Upstream],
        place: &Upstream,
        pool: &Pool,
    ) -> Vec<Upstream> {
        self.watched.retain(|watched| watched.until > now);
        let others = order.iter().filter(|upstream| *upstream != place).take(MAX_WATCHED);
        let is_new = |upstream: &&Upstream| {
            let mut known = self.watched.iter();
            !known.any(|watched| watched.upstream == **upstream && watched.pool == *pool)
        };
        let begun: Vec<_> = others.filter(is_new).cloned().collect();
        self.watched.extend(begun.iter().map(|upstream| Watched {
            upstream: upstream.clone(),
            pool: pool.clone(),
            until: now + VALIDITY,
        }));
        begun
    }

    /// Takes note that the owner told of room, which ends the watch.
    pub(crate) fn end(&mut self, upstream: &Upstream, pool: &Pool) {
        self.watched.retain(|watched| watched.upstream != *upstream || watched.pool != *pool);
    }
}

#[derive(Debug)]
struct Watcher {
    instance: Instance,
    pool: Pool,
    until: Instant,
}

/// The instances that watch one upstream, those that began first before others.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    watchers: Vec<Watcher>,
}

impl Watchers {
    pub(crate) fn add(&mut self, now: Instant, instance: &Instance, pool: Pool) {
        let until = now + VALIDITY;
        self.watchers.retain(|one| one.instance != *instance || one.pool != pool);
        self.watchers.push(Watcher { instance: instance.clone(), pool, until });
    }

    /// The pool of the first one.
    pub(crate) fn first_pool(&mut self, now: Instant) -> Option<Pool> {
        self.watchers.retain(|watcher| watcher.until > now);
        self.watchers.first().map(|watcher| watcher.pool.clone())
    }

    /// Removes the first one, to be told.
    pub(crate) fn take_first(&mut self) -> Option<(Instance, Pool)> {
        let first = (!self.watchers.is_empty()).then(|| self.watchers.remove(0));
        first.map(|Watcher { instance, pool, .. }| (instance, pool))
    }
}
