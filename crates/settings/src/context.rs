//! Settings of moves of cached context between engines.

use serde::{Deserialize, Serialize};
use units::{Rate, Size, Span};

/// When cached context is moved to the engine that gets the next request of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Context {
    /// Most moves at once; none when it is 0.
    pub moves: usize,
    /// Longest time that a move may take.
    pub limit: Span,
    /// Most bytes of a moved context.
    pub largest: Size,
    /// Tokens that an engine computes of a prompt.
    pub recompute: Rate,
    /// Bytes that are transferred in a second.
    pub transfer_per_second: Size,
    /// Time that the call of an engine takes without any content.
    pub round_trip: Span,
    /// Bytes of a token of context, until moves tell.
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
