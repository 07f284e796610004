//! Counters of frames and bytes per slice, which the metrics read.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::EnumCount;

use crate::Slice;

/// Numbers of frames and bytes sent for one slice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of frames sent.
    pub frames: u64,
    /// Number of bytes sent, including length prefixes and authentication tags.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct AtomicCount {
    frames: AtomicU64,
    bytes: AtomicU64,
}

/// Counters of the traffic between an instance and its peers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [AtomicCount; Slice::COUNT],
    dropped: AtomicU64,
    refused: AtomicU64,
}

impl Traffic {
    pub(crate) fn add_sent(&self, slice: Slice, bytes: usize) {
        let count = &self.sent[slice as usize];
        count.frames.fetch_add(1, Ordering::Relaxed);
        count.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_dropped(&self, frames: usize) {
        self.dropped.fetch_add(frames as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of frames and bytes sent for `slice`.
    pub fn sent(&self, slice: Slice) -> Count {
        let count = &self.sent[slice as usize];
        Count {
            frames: count.frames.load(Ordering::Relaxed),
            bytes: count.bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of frames dropped because the peer was unreachable or its queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of frames and handshakes refused because they were not authenticated,
    /// replayed, malformed or addressed to another instance.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}
