//! Registry of upstreams that announce themselves to control instances, and its distribution to the
//! other instances.
//!
//! Every instance keeps a [`Roster`]. Rosters that have received the same announcements are equal,
//! whatever the order of arrival: of two records about an upstream the one of the later run wins;
//! within a run a leave wins, otherwise the later announcement. A [`Tree`] determines which
//! instances an instance follows to receive updates.

mod distribution;
mod record;
mod registry;

pub use distribution::Tree;
pub use record::{Announcement, Record, Status};
pub use registry::{BUCKETS, MergeResult, Roster, short_hash};
