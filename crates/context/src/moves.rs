//! Tracking of the moves in progress.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::{Call, ConnectionReuse, Head, Progress};
use names::{Attempt, Upstream};

use crate::{
    Costs, Decision, ExportedContext, MoveConditions, MoveLimits, Reason, Transfer, TransferError,
};

/// Time without moves from or to an engine after a failed move. It doubles with each further
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// A move that would avoid computing the context of a request.
#[derive(Clone)]
pub struct MoveRequest {
    /// Engine that has the context, and its address.
    pub from: (Upstream, SocketAddr),
    /// Engine that gets the request, and its address.
    pub to: (Upstream, SocketAddr),
    /// Transfer protocol of both engines.
    pub transfer: &'static dyn Transfer,
    /// Body of the request.
    pub prompt: Vec<u8>,
    /// Expected size of the context, in tokens.
    pub tokens: u64,
    /// Deadline for the complete response to the request.
    pub deadline: Instant,
}

/// Outcome of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveOutcome {
    /// The context was moved.
    Moved {
        /// Size of the context, in bytes.
        bytes: usize,
    },
    /// The source engine had no cached context of the conversation.
    NothingCached,
    /// The move failed, and the engine that gets the request has to compute the context.
    Failed {
        /// Engine that failed.
        upstream: Upstream,
        /// Error that ended the move.
        error: TransferError,
    },
}

/// Next step after progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveStep {
    /// Wait for further progress.
    Wait,
    /// Make this import call.
    Import(Call),
    /// The move has ended, and the request continues.
    End(MoveOutcome),
}

enum Phase {
    Exporting,
    Importing { bytes: usize },
}

struct RunningMove {
    attempt: Attempt,
    move_request: MoveRequest,
    until: Instant,
    phase: Phase,
    head: Option<Head>,
    body: Vec<u8>,
}

/// Backoff of an engine whose moves failed.
struct Backoff {
    upstream: Upstream,
    until: Instant,
    failures: u32,
}

/// Decides on moves and tracks those in progress.
pub struct Moves {
    costs: Costs,
    limits: MoveLimits,
    running: Vec<RunningMove>,
    backoffs: Vec<Backoff>,
}

impl RunningMove {
    fn call(&self, address: SocketAddr, path: &str, body: Vec<u8>) -> Call {
        Call {
            attempt: self.attempt,
            method: "POST".to_string(),
            address,
            path: path.to_string(),
            headers: self.move_request.transfer.headers(self.attempt),
            body,
            connect_deadline: self.until,
            deadline: self.until,
            reuse: ConnectionReuse::Allowed,
        }
    }

    /// Returns the engine that processes the current call.
    fn active_engine(&self) -> &Upstream {
        match self.phase {
            Phase::Exporting => &self.move_request.from.0,
            Phase::Importing { .. } => &self.move_request.to.0,
        }
    }

    /// Handles the complete response to the call of the current phase.
    fn finish_phase(&mut self) -> Result<MoveStep, TransferError> {
        let missing_head =
            || TransferError::Truncated { reason: "the response has no head".to_string() };
        let head = self.head.take().ok_or_else(missing_head)?;
        let transfer = self.move_request.transfer;
        if let Phase::Importing { bytes } = self.phase {
            transfer.check_import(self.attempt, &head)?;
            return Ok(MoveStep::End(MoveOutcome::Moved { bytes }));
        }
        match transfer.check_export(self.attempt, &head, std::mem::take(&mut self.body))? {
            ExportedContext::Empty => Ok(MoveStep::End(MoveOutcome::NothingCached)),
            ExportedContext::Body(body) => {
                self.phase = Phase::Importing { bytes: body.len() };
                Ok(MoveStep::Import(self.call(
                    self.move_request.to.1,
                    transfer.import_path(),
                    body,
                )))
            }
        }
    }

    fn handle_progress(
        &mut self,
        progress: Progress,
        limit: usize,
    ) -> Result<MoveStep, TransferError> {
        match progress {
            Progress::Head { status, headers, framing } => {
                self.head = Some(Head { status, headers, framing });
                Ok(MoveStep::Wait)
            }
            Progress::Body(part) if self.body.len() + part.len() > limit => {
                Err(TransferError::TooLarge { limit })
            }
            Progress::Body(part) => {
                self.body.extend_from_slice(&part);
                Ok(MoveStep::Wait)
            }
            Progress::Received => Ok(MoveStep::Wait),
            // The context is JSON, which shows whether it is complete.
            Progress::End | Progress::Closed => self.finish_phase(),
            Progress::NotSent { reason } | Progress::Failed { reason, .. } => {
                Err(TransferError::Call { reason })
            }
        }
    }
}

impl Moves {
    /// Creates a tracker without moves.
    pub fn new(costs: Costs, limits: MoveLimits) -> Self {
        Self { costs, limits, running: Vec::new(), backoffs: Vec::new() }
    }

    /// Decides on `move_request` at `now`. If the move is worthwhile, starts it with the id
    /// `attempt` and returns the export call to make.
    ///
    /// # Errors
    ///
    /// Returns the [`Reason`] why the engine has to compute the context.
    pub fn begin(
        &mut self,
        now: Instant,
        attempt: Attempt,
        move_request: MoveRequest,
    ) -> Result<Call, Reason> {
        if self.is_backing_off(now, &move_request.from.0)
            || self.is_backing_off(now, &move_request.to.0)
        {
            return Err(Reason::Failing);
        }
        let MoveRequest { tokens, deadline, .. } = move_request;
        let conditions = MoveConditions { now, deadline, tokens, moves: self.running.len() };
        let until = match self.costs.decide(&self.limits, &conditions) {
            Decision::Move { until } => until,
            Decision::Recompute(reason) => return Err(reason),
        };
        let (phase, head, body) = (Phase::Exporting, None, Vec::new());
        let mut running = RunningMove { attempt, move_request, until, phase, head, body };
        let prompt = std::mem::take(&mut running.move_request.prompt);
        let path = running.move_request.transfer.export_path();
        let call = running.call(running.move_request.from.1, path, prompt);
        self.running.push(running);
        Ok(call)
    }

    /// Handles progress of the move `attempt`. Progress of a move that has ended is ignored.
    pub fn progress(&mut self, now: Instant, attempt: Attempt, progress: Progress) -> MoveStep {
        let limit = self.limits.max_bytes;
        let Some(running) = self.running.iter_mut().find(|running| running.attempt == attempt)
        else {
            return MoveStep::Wait;
        };
        match running.handle_progress(progress, limit) {
            Ok(MoveStep::End(outcome)) => {
                self.end(attempt, &outcome);
                MoveStep::End(outcome)
            }
            Ok(step) => step,
            Err(error) => self.fail(now, attempt, error),
        }
    }

    /// Ends a move whose time limit has passed.
    pub fn expire(&mut self, now: Instant, attempt: Attempt) -> MoveStep {
        self.fail(now, attempt, TransferError::TimedOut)
    }

    /// Cancels a move whose request no longer waits for it.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.running.retain(|running| running.attempt != attempt);
    }

    /// Returns the number of moves in progress.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no move is in progress.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    fn end(&mut self, attempt: Attempt, outcome: &MoveOutcome) {
        let Some(index) = self.running.iter().position(|running| running.attempt == attempt) else {
            return;
        };
        let MoveRequest { from, to, tokens, .. } = self.running.swap_remove(index).move_request;
        if let MoveOutcome::Moved { bytes } = outcome {
            self.costs.record_move(tokens, *bytes);
            self.backoffs.retain(|backoff| backoff.upstream != from.0 && backoff.upstream != to.0);
        }
    }

    fn fail(&mut self, now: Instant, attempt: Attempt, cause: TransferError) -> MoveStep {
        let Some(index) = self.running.iter().position(|running| running.attempt == attempt) else {
            return MoveStep::Wait;
        };
        let upstream = self.running.swap_remove(index).active_engine().clone();
        self.back_off(now, &upstream);
        MoveStep::End(MoveOutcome::Failed { upstream, error: cause })
    }

    fn is_backing_off(&self, now: Instant, upstream: &Upstream) -> bool {
        self.backoffs.iter().any(|backoff| backoff.upstream == *upstream && now < backoff.until)
    }

    fn back_off(&mut self, now: Instant, upstream: &Upstream) {
        let previous = self.backoffs.iter().position(|backoff| backoff.upstream == *upstream);
        let failures = previous.map_or(0, |index| self.backoffs.swap_remove(index).failures + 1);
        let until = now + INITIAL_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        self.backoffs.push(Backoff { upstream: upstream.clone(), until, failures });
    }
}
