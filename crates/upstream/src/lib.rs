//! Registry of announced upstreams: expiry, labels, load reports, cache events, drain.
//!
//! [`Registry`] is the set of upstreams that one instance knows and determines which upstreams may
//! receive new work. [`Directory`] keeps the sets of all instances of a data centre equal: changes
//! are sent to every instance, renewals only to the owner of the upstream, and digests detect lost
//! changes. Both types are state machines without I/O.

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
