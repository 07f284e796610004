//! Whether a move of context costs less than computing it again.

use std::time::{Duration, Instant};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Weight of one observation in the mean size of a token: one of so many.
const OBSERVATION_WEIGHT: u64 = 8;

/// Resolution of the mean size of a token, in parts of a byte.
const PARTS_PER_BYTE: u64 = 1000;

/// Part of the time left until a request's deadline that a move may take: one of so many.
const PART_OF_REMAINING: u32 = 4;

/// What moves and computations of context cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Costs {
    recompute_per_second: u64,
    transfer_per_second: u64,
    round_trip: Duration,
    parts_per_token: u64,
}

/// Bounds on moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most moves at once.
    pub moves: usize,
    /// Longest time that a move may take.
    pub limit: Duration,
    /// Most bytes of a moved context.
    pub bytes: usize,
}

/// A request whose context is at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// The time.
    pub now: Instant,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// Tokens of context.
    pub tokens: u64,
    /// Moves under way.
    pub moves: usize,
}

/// What to do about context at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Move it; without it the request goes on at this time.
    Move {
        /// When the request goes on in any case.
        until: Instant,
    },
    /// Let the engine compute it.
    Recompute(Reason),
}

/// Why context is not moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Computing it costs no more.
    Cheap,
    /// It is larger than a moved context may be.
    Large,
    /// As many moves are under way as there may be.
    Busy,
    /// The request has no time for a move.
    Late,
    /// A move from or to that engine failed a short while ago.
    Failing,
}

fn span(amount: u64, per_second: u64) -> Duration {
    let nanos = u128::from(amount) * u128::from(NANOS_PER_SECOND) / u128::from(per_second.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

impl Costs {
    /// Costs of computing `recompute_per_second` tokens and of transferring
    /// `transfer_per_second` bytes in a second, `round_trip` for each call, and
    /// `bytes_per_token` bytes until moves tell.
    pub fn new(
        recompute_per_second: u64,
        transfer_per_second: u64,
        round_trip: Duration,
        bytes_per_token: u64,
    ) -> Self {
        let parts_per_token = bytes_per_token.saturating_mul(PARTS_PER_BYTE);
        Self { recompute_per_second, transfer_per_second, round_trip, parts_per_token }
    }

    /// Expected bytes of `tokens`.
    pub fn bytes(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(self.parts_per_token) / PARTS_PER_BYTE
    }

    /// Time to compute `tokens`.
    pub fn recompute_time(&self, tokens: u64) -> Duration {
        span(tokens, self.recompute_per_second)
    }

    /// Time to export and import `tokens`.
    pub fn move_time(&self, tokens: u64) -> Duration {
        let one_way = span(self.bytes(tokens), self.transfer_per_second);
        one_way.saturating_add(self.round_trip).saturating_mul(2)
    }

    /// Takes note that `tokens` were moved as `bytes`.
    pub fn observe(&mut self, tokens: u64, bytes: usize) {
        let parts = (bytes as u64).saturating_mul(PARTS_PER_BYTE) / tokens.max(1);
        let former = self.parts_per_token.saturating_mul(OBSERVATION_WEIGHT - 1);
        self.parts_per_token = former.saturating_add(parts) / OBSERVATION_WEIGHT;
    }

    /// Chooses between a move and a computation. A move may take no longer than the limit, than
    /// the computation, and than a quarter of the time that the request has left.
    pub fn decide(&self, bounds: &Bounds, situation: &Situation) -> Decision {
        let Situation { now, deadline, tokens, moves } = *situation;
        let (recompute, move_time) = (self.recompute_time(tokens), self.move_time(tokens));
        let remaining = deadline.saturating_duration_since(now) / PART_OF_REMAINING;
        let longest = bounds.limit.min(remaining);
        if moves >= bounds.moves {
            Decision::Recompute(Reason::Busy)
        } else if self.bytes(tokens) > bounds.bytes as u64 {
            Decision::Recompute(Reason::Large)
        } else if move_time >= recompute {
            Decision::Recompute(Reason::Cheap)
        } else if move_time >= longest {
            Decision::Recompute(Reason::Late)
        } else {
            Decision::Move { until: now + longest.min(recompute) }
        }
    }
}
