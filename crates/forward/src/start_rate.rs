//! Rate at which queued requests can start.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Factor by which the rate may be higher than in the window, as the rate of a few random starts often
/// is.
const RATE_MARGIN: f64 = 2.0;

/// Minimum number of starts in the window for a rate. With fewer, the upstreams may have had room for
/// more requests than there were.
const MIN_STARTS: usize = 5;

/// Maximum number of starts that are kept. At higher rates, the window is shorter.
const MAX_STARTS: usize = 512;

/// Recent starts of requests of one service at an instance.
#[derive(Debug, Clone, Default)]
pub struct StartRate {
    starts: VecDeque<Instant>,
}

impl StartRate {
    /// Records that a request was sent to an upstream.
    pub fn record(&mut self, now: Instant) {
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns whether a request with `ahead` others before it in the queue cannot start by `until`.
    /// Nothing is known with few recent starts, and the first one in the queue may start at any time.
    pub fn is_too_slow(&mut self, now: Instant, ahead: usize, until: Instant) -> bool {
        while self.starts.front().is_some_and(|at| *at + WINDOW <= now) {
            self.starts.pop_front();
        }
        let is_known = self.starts.len() >= MIN_STARTS;
        let Some(first) = self.starts.front().filter(|_| is_known && ahead > 0) else {
            return false;
        };
        let window = match self.starts.len() {
            MAX_STARTS => now.saturating_duration_since(*first),
            _ => WINDOW,
        };
        let left = until.saturating_duration_since(now).as_secs_f64();
        let expected = self.starts.len() as f64 * left / window.as_secs_f64().max(f64::EPSILON);
        ahead as f64 > expected * RATE_MARGIN
    }
}

/// Returns the time after which a refused caller returns. Callers that are refused together return
/// spread over time: `random`, from 0 to 1, places each between `shortest` and twice that time, at most
/// `longest`.
pub fn spread_retry(shortest: Duration, longest: Duration, random: f64) -> Duration {
    let shortest = shortest.min(longest);
    shortest + (longest - shortest).min(shortest).mul_f64(random.clamp(0.0, 1.0))
}
