//! Decision between moving cached context and computing it again.

use std::time::{Duration, Instant};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Inverse weight of one observed move in the moving average of the size of a token.
const AVERAGING_WEIGHT: u64 = 8;

/// Resolution of the average size of a token.
const MILLIBYTES_PER_BYTE: u64 = 1000;

/// A move may take at most the time until the request's deadline divided by this number.
const REMAINING_TIME_DIVISOR: u32 = 4;

/// Cost model of moving and of computing context.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Costs {
    recompute_per_second: u64,
    transfer_per_second: u64,
    round_trip: Duration,
    millibytes_per_token: u64,
}

/// Limits on moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveLimits {
    /// Maximum number of concurrent moves.
    pub max_moves: usize,
    /// Maximum duration of a move.
    pub max_duration: Duration,
    /// Maximum size of a moved context, in bytes.
    pub max_bytes: usize,
}

/// Conditions at the time of the decision, for a request whose context is at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveConditions {
    /// Current time.
    pub now: Instant,
    /// Deadline for the complete response.
    pub deadline: Instant,
    /// Size of the context, in tokens.
    pub tokens: u64,
    /// Number of moves in progress.
    pub moves: usize,
}

/// Decision about context at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Move the context.
    Move {
        /// Time at which the request continues even if the move has not finished.
        until: Instant,
    },
    /// Let the engine that gets the request compute the context.
    Recompute(Reason),
}

/// Reason why context is not moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Computing the context takes no longer than the move.
    Cheap,
    /// The context exceeds the size limit for moves.
    Large,
    /// The maximum number of moves is in progress.
    Busy,
    /// The move would exceed the time limit or leave the request too little time.
    Late,
    /// A recent move from or to one of the engines failed, and the backoff has not ended.
    Failing,
}

/// Returns the time to process `amount` units at `per_second` units per second.
fn duration(amount: u64, per_second: u64) -> Duration {
    let nanos = u128::from(amount) * u128::from(NANOS_PER_SECOND) / u128::from(per_second.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

impl Costs {
    /// Creates a cost model. Engines compute `recompute_per_second` tokens and transfer
    /// `transfer_per_second` bytes per second, and each call takes `round_trip` in addition.
    /// `bytes_per_token` is the initial estimate of the size of a token, which moves refine.
    pub fn new(
        recompute_per_second: u64,
        transfer_per_second: u64,
        round_trip: Duration,
        bytes_per_token: u64,
    ) -> Self {
        let millibytes_per_token = bytes_per_token.saturating_mul(MILLIBYTES_PER_BYTE);
        Self { recompute_per_second, transfer_per_second, round_trip, millibytes_per_token }
    }

    /// Returns the expected size of the context of `tokens` tokens, in bytes.
    pub fn expected_bytes(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(self.millibytes_per_token) / MILLIBYTES_PER_BYTE
    }

    /// Returns the time to compute the context of `tokens` tokens.
    pub fn recompute_time(&self, tokens: u64) -> Duration {
        duration(tokens, self.recompute_per_second)
    }

    /// Returns the time to export and import the context of `tokens` tokens.
    pub fn move_time(&self, tokens: u64) -> Duration {
        let one_way = duration(self.expected_bytes(tokens), self.transfer_per_second);
        one_way.saturating_add(self.round_trip).saturating_mul(2)
    }

    /// Updates the average size of a token after a move of `tokens` tokens with `bytes` bytes.
    pub fn record_move(&mut self, tokens: u64, bytes: usize) {
        let millibytes = (bytes as u64).saturating_mul(MILLIBYTES_PER_BYTE) / tokens.max(1);
        let previous = self.millibytes_per_token.saturating_mul(AVERAGING_WEIGHT - 1);
        self.millibytes_per_token = previous.saturating_add(millibytes) / AVERAGING_WEIGHT;
    }

    /// Chooses between moving and computing the context. A move must take less time than the limit,
    /// than the computation, and than a quarter of the time until the deadline of the request.
    pub fn decide(&self, limits: &MoveLimits, conditions: &MoveConditions) -> Decision {
        let MoveConditions { now, deadline, tokens, moves } = *conditions;
        let (recompute, move_time) = (self.recompute_time(tokens), self.move_time(tokens));
        let remaining = deadline.saturating_duration_since(now) / REMAINING_TIME_DIVISOR;
        let max_time = limits.max_duration.min(remaining);
        if moves >= limits.max_moves {
            Decision::Recompute(Reason::Busy)
        } else if self.expected_bytes(tokens) > limits.max_bytes as u64 {
            Decision::Recompute(Reason::Large)
        } else if move_time >= recompute {
            Decision::Recompute(Reason::Cheap)
        } else if move_time >= max_time {
            Decision::Recompute(Reason::Late)
        } else {
            Decision::Move { until: now + max_time.min(recompute) }
        }
    }
}
