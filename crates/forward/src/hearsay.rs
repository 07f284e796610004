//! What instances tell each other of the load of upstreams.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::is_wide;

/// How an instance passes loads on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// How often.
    pub period: Duration,
    /// To how many others each time.
    pub fanout: usize,
}

/// In a small fleet an instance hears most by itself.
const SMALL_PACE: Pace = Pace { period: Duration::from_millis(500), fanout: 8 };

/// With many instances, an engine that gets long prompts changes its load by as much as its bound
/// within half a second.
const WIDE_PACE: Pace = Pace { period: Duration::from_millis(125), fanout: 4 };

impl Pace {
    /// The pace among so many `instances`.
    pub fn new(instances: usize) -> Self {
        if is_wide(instances) { WIDE_PACE } else { SMALL_PACE }
    }
}

/// For how long a load is kept, so that older words that arrive later are told apart.
const MEMORY: Duration = Duration::from_secs(10);

/// How long the word of another instance that an engine is behind counts: two periods in which it
/// is said again.
const BEHIND_SPAN: Duration = Duration::from_millis(250);

/// The load that an upstream had a while ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Names the upstream in few bytes.
    pub upstream: u32,
    /// Requests that it had.
    pub held: u16,
    /// How long ago that was, in milliseconds.
    pub age: u16,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    upstream: u32,
    held: u16,
    at: Instant,
    /// Whether the upstream told this instance, which has told nobody yet.
    is_news: bool,
}

/// An engine that is behind, as another instance said at `at`.
#[derive(Debug, Clone, Copy)]
struct Behind {
    upstream: u32,
    at: Instant,
}

/// The newest loads that this instance knows.
///
/// Each load is told by the one instance that heard it to a few others, and not passed on by them:
/// when all knew the same, all would leave the same engines at once and meet at the same others,
/// which was measured to cost more than it gave.
#[derive(Debug, Clone, Default)]
pub struct Hearsay {
    /// Sorted by upstream.
    known: Vec<Known>,
    /// Sorted by upstream.
    behind: Vec<Behind>,
}

impl Hearsay {
    /// Takes what the upstream itself said at `now`.
    pub fn observe(&mut self, now: Instant, upstream: u32, held: u32) {
        let held = u16::try_from(held).unwrap_or(u16::MAX);
        self.put(Known { upstream, held, at: now, is_news: true });
    }

    /// Takes what another instance said at `now`; gives when the upstream had that load, or
    /// nothing if this instance knows better.
    pub fn hear(&mut self, now: Instant, load: Load) -> Option<Instant> {
        let at = now.checked_sub(Duration::from_millis(u64::from(load.age)))?;
        let Load { upstream, held, .. } = load;
        if self.behind(upstream).is_some_and(|one| one.at < at) {
            self.forget_behind(upstream);
        }
        self.put(Known { upstream, held, at, is_news: false }).then_some(at)
    }

    /// Takes the word of another instance that an engine is behind: it has requests of that
    /// instance and has sent it nothing for long, so that nobody can hear of its load.
    pub fn hear_behind(&mut self, now: Instant, upstream: u32) {
        let told = Behind { upstream, at: now };
        match self.behind.binary_search_by_key(&upstream, |one| one.upstream) {
            Ok(index) => self.behind[index] = told,
            Err(index) => self.behind.insert(index, told),
        }
    }

    /// Forgets that an engine is behind, since it has sent something.
    pub fn forget_behind(&mut self, upstream: u32) {
        self.behind.retain(|one| one.upstream != upstream);
    }

    /// Whether another instance said lately that an engine is behind.
    pub fn is_behind(&self, now: Instant, upstream: u32) -> bool {
        self.behind(upstream).is_some_and(|one| now < one.at + BEHIND_SPAN)
    }

    fn behind(&self, upstream: u32) -> Option<Behind> {
        let found = self.behind.binary_search_by_key(&upstream, |one| one.upstream);
        found.ok().map(|index| self.behind[index])
    }

    fn put(&mut self, known: Known) -> bool {
        match self.known.binary_search_by_key(&known.upstream, |one| one.upstream) {
            Ok(index) if self.known[index].at >= known.at => false,
            Ok(index) => {
                self.known[index] = known;
                true
            }
            Err(index) => {
                self.known.insert(index, known);
                true
            }
        }
    }

    /// What to tell others at `now`, at most `limit` loads: what this instance heard itself since it
    /// was last asked.
    pub fn pass_on(&mut self, now: Instant, limit: usize) -> Vec<Load> {
        let news = self.known.iter().filter(|one| one.is_news).take(limit);
        let chosen = news.map(|one| one.load(now)).collect();
        self.known.iter_mut().for_each(|one| one.is_news = false);
        self.known.retain(|one| now < one.at + MEMORY);
        self.behind.retain(|one| now < one.at + BEHIND_SPAN);
        chosen
    }
}

impl Known {
    fn load(&self, now: Instant) -> Load {
        let age = now.saturating_duration_since(self.at).as_millis();
        let age = u16::try_from(age).unwrap_or(u16::MAX);
        Load { upstream: self.upstream, held: self.held, age }
    }
}
