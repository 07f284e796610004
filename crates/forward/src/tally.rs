//! How many requests an upstream holds, counted at one instance.
//!
//! Each upstream has a keeper, an entry instance of its data centre. Whoever sends it requests tells
//! the keeper how many it has there: the whole number, not a change, so that a lost message is
//! mended by the next one and nothing leaks. The keeper only counts; it grants nothing, and
//! upstreams go on without it.

use std::time::{Duration, Instant};

use names::Instance;

/// How often an instance repeats what it has at upstreams.
pub const TELL_PERIOD: Duration = Duration::from_secs(1);

/// How long a number counts: two repeats may be lost.
const TOLD_SPAN: Duration = Duration::from_millis(3200);

/// Requests that one instance said it has at one upstream.
#[derive(Debug, Clone)]
struct Told {
    upstream: u32,
    sender: Instance,
    held: u32,
    /// Number of the message that said so.
    number: u64,
    until: Instant,
}

/// What a keeper was told.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Sorted by upstream and sender.
    told: Vec<Told>,
}

impl Tally {
    /// Takes the word of `sender`, in its message `number`, that it has `held` requests at an
    /// upstream; an older word that comes late changes nothing.
    pub fn tell(&mut self, now: Instant, sender: &Instance, number: u64, upstream: u32, held: u32) {
        let found =
            self.told.binary_search_by(|one| (one.upstream, &one.sender).cmp(&(upstream, sender)));
        let until = now + TOLD_SPAN;
        match found {
            Ok(index) if self.told[index].number > number && now < self.told[index].until => {}
            Ok(index) => {
                let told = &mut self.told[index];
                (told.held, told.number, told.until) = (held, number, until);
            }
            Err(index) => {
                let sender = sender.clone();
                self.told.insert(index, Told { upstream, sender, held, number, until });
            }
        }
    }

    /// Requests that all instances have at an upstream.
    pub fn held(&self, now: Instant, upstream: u32) -> u32 {
        let first = self.told.partition_point(|one| one.upstream < upstream);
        let of_upstream = self.told[first..].iter().take_while(|one| one.upstream == upstream);
        of_upstream.filter(|one| now < one.until).map(|one| one.held).sum()
    }

    /// Forgets what was said too long ago.
    pub fn forget(&mut self, now: Instant) {
        self.told.retain(|one| now < one.until);
    }
}

/// Share that one more sample has in a [`Level`]: a dozen samples, which in a busy fleet come within
/// two seconds, give the mean of all instances to a tenth.
const SAMPLE_SHARE: f64 = 1.0 / 12.0;

/// The mean number of requests of one service that an instance has, from samples of many. Samples
/// come from keepers, which have their duty whatever they have in flight: whoever asks would tell
/// too much, since those with many requests ask more often.
#[derive(Debug, Clone, Copy, Default)]
pub struct Level {
    mean: Option<f64>,
}

impl Level {
    /// Takes the number of an instance.
    pub fn sample(&mut self, in_flight: u32) {
        let sample = f64::from(in_flight);
        let mean = self.mean.unwrap_or(sample);
        self.mean = Some(mean + (sample - mean) * SAMPLE_SHARE);
    }

    /// The mean over all instances, if one was heard of.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}
