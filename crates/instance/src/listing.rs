//! Upstreams as operators see them.

use declare::Declarations;
use serde::Serialize;
use upstream::{Announcement, Entry};

/// An upstream as one instance knows it.
#[derive(Serialize)]
pub(crate) struct Listed<'a> {
    #[serde(flatten)]
    announcement: &'a Announcement,
    /// Requests that this instance has sent to it.
    in_flight: u32,
    /// Requests that it reported to work on.
    running: Option<u32>,
    /// Requests that it reported to wait inside it.
    waiting: Option<u32>,
    /// Whether a declared drain keeps new work from it.
    is_drained: bool,
}

impl<'a> Listed<'a> {
    pub(crate) fn new(entry: &'a Entry, in_flight: u32, declarations: &Declarations) -> Self {
        Self {
            announcement: &entry.announcement,
            in_flight,
            running: entry.load.as_ref().map(|load| load.running),
            waiting: entry.load.as_ref().map(|load| load.waiting),
            is_drained: declarations.is_drained(&entry.announcement.labels),
        }
    }
}
