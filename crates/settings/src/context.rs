//! Settings for moving cached context between engines.

use serde::{Deserialize, Serialize};
use units::{Rate, Size, Span};

/// Limits and cost model for moving cached context to the engine that gets the next request of a
/// conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Context {
    /// Maximum number of concurrent moves; 0 disables moves.
    pub moves: usize,
    /// Maximum duration of a move.
    pub limit: Span,
    /// Maximum size of a moved context.
    pub largest: Size,
    /// Rate at which an engine processes prompt tokens.
    pub recompute: Rate,
    /// Number of bytes transferred per second.
    pub transfer_per_second: Size,
    /// Duration of a call to an engine without any content.
    pub round_trip: Span,
    /// Initial estimate of the size of a context token, until moves have been measured.
    pub bytes_per_token: Size,
}

impl Default for Context {
    fn default() -> Self {
        Self {
            moves: 4,
            limit: Span::from_millis(300),
            largest: Size::from_kibibytes(2048),
            recompute: Rate::per_second(8000),
            transfer_per_second: Size::from_kibibytes(256 * 1024),
            round_trip: Span::from_millis(2),
            bytes_per_token: Size::from_bytes(64),
        }
    }
}
