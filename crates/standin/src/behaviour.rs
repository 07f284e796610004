//! How a stand-in takes orders, and how late and incomplete its reports are.

use units::Span;

/// What a stand-in does besides answering.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behaviour {
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// How often it reports its load and cache; never when it is zero.
    pub report_every: Span,
    /// How late reports arrive.
    pub report_lag: Span,
    /// Cache events that are lost, in percent.
    pub cache_loss_percent: u32,
    /// Seed of the losses.
    pub seed: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            report_every: Span::from_millis(0),
            report_lag: Span::from_millis(0),
            cache_loss_percent: 0,
            seed: 1,
        }
    }
}
