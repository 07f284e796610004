//! Announced upstreams: expiry, labels, load reports, cache events, drain.
//!
//! [`Registry`] is the set that one instance knows and tells which upstreams may receive new
//! work. [`Directory`] keeps the sets of a data centre equal: changes go to every instance,
//! renewals only to the upstream's owner, and digests find what got lost. Both are cores without
//! I/O.

mod announcement;
pub mod cache;
mod directory;
mod error;
mod message;
mod record;
mod registry;

pub use announcement::{Announcement, Load, Protocol};
pub use directory::{Action, Directory};
pub use error::Error;
pub use message::{BUCKETS, Digest, Message};
pub use record::Record;
pub use registry::{Change, Entry, Registry};
