//! Configures how a stand-in checks orders and how late and incomplete its reports are.

use units::Span;

/// Behaviour of a stand-in apart from its responses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behaviour {
    /// Whether the stand-in refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Interval between reports of load and cache events; zero disables reports.
    pub report_every: Span,
    /// Delay with which reports are sent.
    pub report_lag: Span,
    /// Probability that a report of cache events is lost, in percent.
    pub cache_loss_percent: u32,
    /// Seed from which the losses are drawn.
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
