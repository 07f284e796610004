//! Log levels of events.

use log::Level;

use crate::Event;

impl Event {
    /// Returns the log level of the event. The level decides the share of the log limit that the
    /// event may use: failures before state changes, and state changes before normal requests.
    pub(crate) fn level(&self) -> Level {
        match self {
            Self::Lost { .. }
            | Self::Avoided { .. }
            | Self::BytesLimited { .. }
            | Self::Refused { .. }
            | Self::Failed { .. }
            | Self::Malformed { .. }
            | Self::BrokenOff { .. }
            | Self::Quarantined { .. }
            | Self::Stalled { .. }
            | Self::Cut { .. } => Level::Warn,
            Self::Queued { .. }
            | Self::OverShare { .. }
            | Self::Sent { .. }
            | Self::Left { .. }
            | Self::Answered { .. } => Level::Debug,
            _ => Level::Info,
        }
    }
}
