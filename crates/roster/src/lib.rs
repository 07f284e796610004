//! Registry of upstreams that announce themselves to control instances, and its distribution to the
//! other instances.
//!
//! Every instance keeps a [`Roster`]. Rosters that have received the same announcements are equal,
//! whatever the order of arrival. Of two records about the same upstream, the record of the later
//! run takes precedence. Within a run, a leave takes precedence over other announcements, and
//! otherwise the later announcement takes precedence. Leaves that arrive before any announcement of
//! their run are kept as well ([`departure`]). A [`Tree`] determines which instances an
//! instance follows to receive updates.

mod check;
mod copies;
pub mod departure;
mod distribution;
pub mod durability;
mod record;
mod registry;

pub use check::{Error, check_born};
pub use copies::Copies;
pub use distribution::Tree;
pub use record::{Announcement, Record, Status};
pub use registry::{BUCKETS, DepartResult, MergeResult, Roster, short_hash};
