//! Announced upstreams: expiry, labels, load reports, cache events, drain.
//!
//! [`Registry`] is a core without I/O: it takes announcements with the time of their arrival and
//! tells which upstreams may receive new work.

mod announcement;
pub mod cache;
mod error;
mod registry;

pub use announcement::{Announcement, Load, Protocol};
pub use error::Error;
pub use registry::{Change, Entry, Registry};
