//! Flap damping of instances and upstreams that repeatedly leave and return.

use std::time::{Duration, Instant};

/// Half-life of a penalty.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Penalty above which an instance or upstream is suppressed. Four returns within seconds exceed
/// it.
const SUPPRESS_THRESHOLD: f64 = 3.5;

/// Penalty below which a suppressed instance or upstream is used again.
const REUSE_THRESHOLD: f64 = 1.0;

/// Maximum penalty, which limits the time for which an instance or upstream is suppressed to two
/// minutes.
const MAX_PENALTY: f64 = 8.0;

/// Flap penalty of one instance or upstream, which grows with each return and decays over time.
#[derive(Debug, Clone)]
pub struct Damping {
    penalty: f64,
    updated_at: Instant,
    is_suppressed: bool,
}

impl Damping {
    /// Creates a damping state without a penalty.
    pub fn new(now: Instant) -> Self {
        Self { penalty: 0.0, updated_at: now, is_suppressed: false }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.penalty *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated_at = now;
    }

    /// Adds the penalty for one return.
    pub fn count_return(&mut self, now: Instant) {
        self.decay(now);
        self.penalty = (self.penalty + 1.0).min(MAX_PENALTY);
    }

    /// Updates whether the instance or upstream is suppressed. The caller passes `may_suppress` to
    /// limit how many are suppressed at once.
    pub fn update(&mut self, now: Instant, may_suppress: bool) {
        self.decay(now);
        if self.is_suppressed {
            self.is_suppressed = self.penalty >= REUSE_THRESHOLD;
        } else {
            self.is_suppressed = may_suppress && self.penalty > SUPPRESS_THRESHOLD;
        }
    }

    /// Returns whether the instance or upstream is suppressed.
    pub fn is_set_aside(&self) -> bool {
        self.is_suppressed
    }
}
