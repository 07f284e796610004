//! Upstreams that announce themselves to control instances and are spread from there.
//!
//! Every instance keeps a [`Roster`]. Rosters that have heard of the same announcements are equal,
//! in whatever order these came: of two records about one upstream the one of the later run wins,
//! within a run a leave wins, else the later announcement. A [`Tree`] says who follows whom.

mod record;
mod roster;
mod tree;

pub use record::{Announcement, Record, Standing};
pub use roster::{BUCKETS, Roster, Taken, short_name};
pub use tree::Tree;
