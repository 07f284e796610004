//! Decisions of an entry instance that chooses upstreams by itself.
//!
//! Nothing here knows of sockets or clocks. [`Affinity`] and [`LeastLoad`] choose an upstream among
//! [`Candidate`]s, whose load a [`Gauge`] estimates, also from [`Hearsay`] of
//! other instances. In a large fleet a [`Walk`] asks the instances that keep a [`Tally`] of what
//! upstreams hold and their [`Paces`]. [`source`] names an engine that has read the context; a [`Line`] orders what has to wait;
//! [`Window`] bounds what is sent again; [`Setback`] says what follows a failed attempt; a
//! [`Tail`] follows a stream so that it can go on elsewhere; and a [`Departure`] says what an
//! instance still takes that is about to stop.

mod candidate;
mod departure;
mod gauge;
mod hearsay;
mod line;
mod pace;
mod policy;
mod setback;
mod source;
mod tail;
mod tally;
mod walk;
mod window;

pub use candidate::{Candidate, warmth};
pub use departure::Departure;
pub use gauge::{Gauge, Report, prior};
pub use hearsay::{Hearsay, Load, Pace};
pub use line::Line;
pub use pace::{PACE_EVENTS, Paces};
pub use policy::{Affinity, LeastLoad, Policy, Wish, scattered};
pub use setback::{Next, Setback};
pub use source::{Holders, Source, source};
pub use tail::{Tail, stall_span};
pub use tally::{Level, TELL_PERIOD, Tally};
pub use walk::{Choice, Search, Step, Walk};
pub use window::{Allowance, Window};

/// Instances from which on each one hears of a small part of the requests.
const MANY_INSTANCES: usize = 16;

/// Whether a fleet of so many `instances` is one in which each hears of a small part.
pub fn is_wide(instances: usize) -> bool {
    instances >= MANY_INSTANCES
}
