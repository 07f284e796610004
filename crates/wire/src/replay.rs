//! Replay window of the sequence numbers received from a sender.

/// Number of sequence numbers that the window covers: one per bit of `seen`.
const WINDOW_SIZE: u64 = 128;

/// Records which of the newest sequence numbers of one sender's incarnation were received.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: Option<u64>,
    seen: u128,
}

impl ReplayWindow {
    /// Records `sequence`. Returns false if `sequence` was received before or is older than the
    /// window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        let Some(highest) = self.highest else {
            self.highest = Some(sequence);
            self.seen = 1;
            return true;
        };
        if sequence > highest {
            let shift = sequence - highest;
            self.seen = if shift >= WINDOW_SIZE { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = Some(sequence);
            return true;
        }
        let age = highest - sequence;
        if age >= WINDOW_SIZE {
            return false;
        }
        let bit = 1u128 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
