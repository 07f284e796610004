//! Counts of frames and bytes by slice, shared with the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::EnumCount;

use crate::Slice;

/// Frames and bytes sent for one slice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent, with lengths and tags.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct Cell {
    frames: AtomicU64,
    bytes: AtomicU64,
}

/// Counts of an instance's traffic with its peers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [Cell; Slice::COUNT],
    dropped: AtomicU64,
    refused: AtomicU64,
}

impl Traffic {
    pub(crate) fn add_sent(&self, slice: Slice, bytes: usize) {
        let cell = &self.sent[slice as usize];
        cell.frames.fetch_add(1, Ordering::Relaxed);
        cell.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_dropped(&self, frames: usize) {
        self.dropped.fetch_add(frames as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// What was sent for `slice`.
    pub fn sent(&self, slice: Slice) -> Count {
        let cell = &self.sent[slice as usize];
        Count {
            frames: cell.frames.load(Ordering::Relaxed),
            bytes: cell.bytes.load(Ordering::Relaxed),
        }
    }

    /// Frames dropped because the peer was unreachable or its queue full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Frames and handshakes refused as forged, replayed, malformed or misdirected.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}
