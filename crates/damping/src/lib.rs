//! Damping of instances and upstreams that come and go again and again.

use std::time::{Duration, Instant};

/// Time in which a penalty halves.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Penalty above which a thing is set aside: the fourth return within seconds.
const SET_ASIDE_ABOVE: f64 = 3.5;

/// Penalty below which a thing set aside is used again.
const USE_BELOW: f64 = 1.0;

/// Penalty that no flapping exceeds, so that nothing stays aside for more than two minutes.
const MAX_PENALTY: f64 = 8.0;

/// The penalty of one thing, which grows with each return and decays.
#[derive(Debug, Clone)]
pub struct Damping {
    penalty: f64,
    updated: Instant,
    is_aside: bool,
}

impl Damping {
    /// No penalty at `now`.
    pub fn new(now: Instant) -> Self {
        Self { penalty: 0.0, updated: now, is_aside: false }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.penalty *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated = now;
    }

    /// Takes note of a return.
    pub fn count_return(&mut self, now: Instant) {
        self.decay(now);
        self.penalty = (self.penalty + 1.0).min(MAX_PENALTY);
    }

    /// Recomputes whether the instance is set aside; `may_set_aside` bounds how many are.
    pub fn update(&mut self, now: Instant, may_set_aside: bool) {
        self.decay(now);
        if self.is_aside {
            self.is_aside = self.penalty >= USE_BELOW;
        } else {
            self.is_aside = may_set_aside && self.penalty > SET_ASIDE_ABOVE;
        }
    }

    /// Whether the thing is set aside.
    pub fn is_aside(&self) -> bool {
        self.is_aside
    }
}
