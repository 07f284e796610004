//! The replay window: which sequence numbers of a sender were seen.

const WINDOW: u64 = 128;

/// The newest sequence numbers seen of one sender's run.
#[derive(Debug, Clone, Default)]
pub struct Window {
    highest: Option<u64>,
    seen: u128,
}

impl Window {
    /// Records `sequence`; false when it was seen before or is older than the window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        let Some(highest) = self.highest else {
            self.highest = Some(sequence);
            self.seen = 1;
            return true;
        };
        if sequence > highest {
            let shift = sequence - highest;
            self.seen = if shift >= WINDOW { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = Some(sequence);
            return true;
        }
        let age = highest - sequence;
        if age >= WINDOW {
            return false;
        }
        let bit = 1u128 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
