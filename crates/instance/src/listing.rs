//! Upstreams as operators see them.

use declare::Declarations;
use names::Instance;
use serde::Serialize;
use upstream::{Announcement, Entry};

/// An upstream as one instance knows it.
#[derive(Serialize)]
pub(crate) struct Listed<'a> {
    #[serde(flatten)]
    announcement: &'a Announcement,
    /// The instance that gives permits to call it.
    owner: Option<&'a Instance>,
    /// Requests of this instance that it works on.
    in_flight: usize,
    /// Requests that it reported to work on.
    running: Option<u32>,
    /// Requests that it reported to wait inside it.
    waiting: Option<u32>,
    /// Whether a declared drain keeps new work from it.
    is_drained: bool,
}

impl<'a> Listed<'a> {
    pub(crate) fn new(entry: &'a Entry, in_flight: usize, declarations: &Declarations) -> Self {
        Self {
            announcement: &entry.announcement,
            owner: None,
            in_flight,
            running: entry.load.as_ref().map(|load| load.running),
            waiting: entry.load.as_ref().map(|load| load.waiting),
            is_drained: declarations.is_drained(&entry.announcement.labels),
        }
    }

    /// Names the instance that gives permits to call it.
    pub(crate) fn with_owner(self, owner: Option<&'a Instance>) -> Self {
        Self { owner, ..self }
    }
}
