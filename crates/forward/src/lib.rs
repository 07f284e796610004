//! Routing decisions of entry instances: upstream selection, load estimation and retries.
//!
//! The crate does no I/O and reads no clock; the caller passes the current time.
//!
//! - [`Affinity`] and [`LeastLoad`] choose an upstream among [`Candidate`]s. A [`Gauge`] estimates
//!   the load of each, also from [`Hearsay`], the loads that other instances report.
//! - In a large fleet a [`Walk`] asks the load trackers of upstreams. A load tracker is an instance
//!   that counts the requests at an upstream in a [`Tally`] and its latency in [`Paces`].
//! - [`source()`] names an engine that has a context in its cache.
//! - A [`Line`] is the queue of requests that wait for an upstream.
//! - [`Setback`] decides what follows a failed attempt, and [`Window`] limits retries.
//! - A [`Tail`] tracks a stream of events so that another upstream can resume the stream.
//! - A [`Departure`] decides which requests an instance accepts while it shuts down.

mod candidate;
mod context_source;
mod latency;
mod load_counter;
mod load_estimate;
mod load_gossip;
mod policy;
mod retry;
mod retry_window;
mod search;
mod shutdown;
mod stream;
mod wait_queue;

pub use candidate::{Candidate, warmth};
pub use context_source::{Holders, Source, source};
pub use latency::{PACE_EVENTS, Paces};
pub use load_counter::{Level, TELL_PERIOD, Tally};
pub use load_estimate::{Gauge, Report, prior};
pub use load_gossip::{Hearsay, Load, Pace};
pub use policy::{Affinity, LeastLoad, Policy, Wish, scattered};
pub use retry::{Next, Setback};
pub use retry_window::{Allowance, Window};
pub use search::{Choice, Search, Step, Walk};
pub use shutdown::Departure;
pub use stream::{Tail, stall_span};
pub use wait_queue::Line;

/// Number of instances from which a fleet is large: each instance sees a small part of the
/// requests.
const LARGE_FLEET_INSTANCES: usize = 16;

/// Returns whether a fleet of `instances` is large, so that each instance sees only a small part of
/// the requests.
pub fn is_wide(instances: usize) -> bool {
    instances >= LARGE_FLEET_INSTANCES
}
