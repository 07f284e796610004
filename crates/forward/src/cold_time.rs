//! Time for which an upstream is cold.

use std::time::{Duration, Instant};

/// Maximum time after which an instance knows of an announcement.
const NEWS_DELAY: Duration = Duration::from_millis(1500);

/// Time until which an upstream is cold, by its announcements and by the evacuation of its data
/// centre.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdTime {
    announced_until: Option<Instant>,
    evacuation_ended: Option<Instant>,
}

impl ColdTime {
    /// Sets the time until which the upstream is cold by its announcement, or `None` if it announces
    /// that it is not.
    pub fn set_announced(&mut self, until: Option<Instant>) {
        self.announced_until = until;
    }

    /// Records that the evacuation of the data centre of the upstream ended at `at`. Nothing was
    /// sent to the upstream before, so that it may be cold whatever it announced.
    pub fn end_evacuation(&mut self, at: Instant) {
        self.evacuation_ended = Some(at);
    }

    /// Returns the time until which the upstream is cold, if it is cold at `now`. Upstreams of the
    /// service are cold for `duration` after an evacuation, unless a newer announcement is known.
    /// `last_heard` is the time at which this instance last heard of an announcement.
    pub fn until(&self, now: Instant, duration: Duration, last_heard: Instant) -> Option<Instant> {
        let evacuated_until = self
            .evacuation_ended
            .filter(|ended| last_heard <= *ended + NEWS_DELAY)
            .map(|ended| ended + duration);
        self.announced_until.max(evacuated_until).filter(|until| now < *until)
    }
}
