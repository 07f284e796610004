//! How a stand-in misbehaves, and how late and incomplete its reports are.

use serde::{Deserialize, Serialize};
use units::Span;

/// How many times slower a slow engine is.
const SLOW_FACTOR: u32 = 20;

/// How an engine treats requests.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// It answers at its usual pace.
    #[default]
    Normal,
    /// It answers an error at once.
    Error,
    /// It answers twenty times slower.
    Slow,
}

impl Mode {
    /// By how much spans of time are longer than usual.
    pub(crate) fn factor(self) -> u32 {
        if self == Self::Slow { SLOW_FACTOR } else { 1 }
    }
}

/// An order to change the mode.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Switch {
    pub(crate) mode: Mode,
}

/// What a stand-in does besides answering.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behaviour {
    /// How it treats requests at first; `POST /mode` changes it.
    pub mode: Mode,
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
            mode: Mode::Normal,
            checks_fencing: false,
            report_every: Span::from_millis(0),
            report_lag: Span::from_millis(0),
            cache_loss_percent: 0,
            seed: 1,
        }
    }
}
