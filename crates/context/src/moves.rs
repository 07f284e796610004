//! The moves under way.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::{Call, Head, Progress, Reuse};
use names::{Attempt, Upstream};

use crate::{Bounds, Costs, Decision, Exported, Flaw, Reason, Situation, Transfer};

/// How long no move is made with an engine after a failed one; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 6;

/// A move that would help a request.
#[derive(Clone)]
pub struct Wanted {
    /// The engine that has the context, and where it takes calls.
    pub from: (Upstream, SocketAddr),
    /// The engine that gets the request.
    pub to: (Upstream, SocketAddr),
    /// How both move context.
    pub transfer: &'static dyn Transfer,
    /// The body of the request.
    pub prompt: Vec<u8>,
    /// Expected tokens of context.
    pub tokens: u64,
    /// When the request's answer must be whole.
    pub deadline: Instant,
}

/// How a move ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has the context.
    Moved {
        /// Bytes of context.
        bytes: usize,
    },
    /// There was nothing to move.
    Nothing,
    /// The engine has to compute the context.
    Failed {
        /// The engine that failed.
        upstream: Upstream,
        /// What it did.
        flaw: Flaw,
    },
}

/// What follows from progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Wait for more.
    Wait,
    /// Make this call.
    Import(Call),
    /// The request goes on.
    End(Outcome),
}

enum Phase {
    Exporting,
    Importing { bytes: usize },
}

struct Running {
    attempt: Attempt,
    wanted: Wanted,
    until: Instant,
    phase: Phase,
    head: Option<Head>,
    body: Vec<u8>,
}

/// An engine whose moves failed.
struct Pause {
    upstream: Upstream,
    until: Instant,
    failures: u32,
}

/// Decides on moves and follows those under way.
pub struct Moves {
    costs: Costs,
    bounds: Bounds,
    running: Vec<Running>,
    pauses: Vec<Pause>,
}

impl Running {
    fn call(&self, address: SocketAddr, path: &str, body: Vec<u8>) -> Call {
        Call {
            attempt: self.attempt,
            method: "POST".to_string(),
            address,
            path: path.to_string(),
            headers: self.wanted.transfer.headers(self.attempt),
            body,
            connect_by: self.until,
            deadline: self.until,
            reuse: Reuse::Allowed,
        }
    }

    /// The engine that has to act.
    fn actor(&self) -> &Upstream {
        match self.phase {
            Phase::Exporting => &self.wanted.from.0,
            Phase::Importing { .. } => &self.wanted.to.0,
        }
    }

    /// Takes the whole answer of the present phase.
    fn finish_phase(&mut self) -> Result<Step, Flaw> {
        let missing = || Flaw::Truncated { reason: "the answer has no head".to_string() };
        let head = self.head.take().ok_or_else(missing)?;
        let transfer = self.wanted.transfer;
        if let Phase::Importing { bytes } = self.phase {
            transfer.imported(self.attempt, &head)?;
            return Ok(Step::End(Outcome::Moved { bytes }));
        }
        match transfer.exported(self.attempt, &head, std::mem::take(&mut self.body))? {
            Exported::Nothing => Ok(Step::End(Outcome::Nothing)),
            Exported::Context(body) => {
                self.phase = Phase::Importing { bytes: body.len() };
                Ok(Step::Import(self.call(self.wanted.to.1, transfer.import_path(), body)))
            }
        }
    }

    fn take(&mut self, progress: Progress, limit: usize) -> Result<Step, Flaw> {
        match progress {
            Progress::Head { status, headers } => {
                self.head = Some(Head { status, headers });
                Ok(Step::Wait)
            }
            Progress::Part(part) if self.body.len() + part.len() > limit => {
                Err(Flaw::Large { limit })
            }
            Progress::Part(part) => {
                self.body.extend_from_slice(&part);
                Ok(Step::Wait)
            }
            Progress::End => self.finish_phase(),
            Progress::Failed { reason, .. } => Err(Flaw::Call { reason }),
        }
    }
}

impl Moves {
    /// No moves yet.
    pub fn new(costs: Costs, bounds: Bounds) -> Self {
        Self { costs, bounds, running: Vec::new(), pauses: Vec::new() }
    }

    /// Decides on `wanted` at `now`. A move begins with the call given, under the id `attempt`.
    ///
    /// # Errors
    ///
    /// [`Reason`] when the engine has to compute the context.
    pub fn begin(
        &mut self,
        now: Instant,
        attempt: Attempt,
        wanted: Wanted,
    ) -> Result<Call, Reason> {
        if self.is_paused(now, &wanted.from.0) || self.is_paused(now, &wanted.to.0) {
            return Err(Reason::Failing);
        }
        let Wanted { tokens, deadline, .. } = wanted;
        let situation = Situation { now, deadline, tokens, moves: self.running.len() };
        let until = match self.costs.decide(&self.bounds, &situation) {
            Decision::Move { until } => until,
            Decision::Recompute(reason) => return Err(reason),
        };
        let (phase, head, body) = (Phase::Exporting, None, Vec::new());
        let mut running = Running { attempt, wanted, until, phase, head, body };
        let prompt = std::mem::take(&mut running.wanted.prompt);
        let path = running.wanted.transfer.export_path();
        let call = running.call(running.wanted.from.1, path, prompt);
        self.running.push(running);
        Ok(call)
    }

    /// Takes progress of the move `attempt`; that of an ended move is dropped.
    pub fn progress(&mut self, now: Instant, attempt: Attempt, progress: Progress) -> Step {
        let limit = self.bounds.bytes;
        let Some(running) = self.running.iter_mut().find(|one| one.attempt == attempt) else {
            return Step::Wait;
        };
        match running.take(progress, limit) {
            Ok(Step::End(outcome)) => {
                self.end(attempt, &outcome);
                Step::End(outcome)
            }
            Ok(step) => step,
            Err(flaw) => self.fail(now, attempt, flaw),
        }
    }

    /// Ends a move whose time limit has passed.
    pub fn expire(&mut self, now: Instant, attempt: Attempt) -> Step {
        self.fail(now, attempt, Flaw::TimedOut)
    }

    /// Ends a move that nobody waits for any more.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.running.retain(|one| one.attempt != attempt);
    }

    /// Number of moves under way.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether no move is under way.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    fn end(&mut self, attempt: Attempt, outcome: &Outcome) {
        let Some(index) = self.running.iter().position(|one| one.attempt == attempt) else {
            return;
        };
        let Wanted { from, to, tokens, .. } = self.running.swap_remove(index).wanted;
        if let Outcome::Moved { bytes } = outcome {
            self.costs.observe(tokens, *bytes);
            self.pauses.retain(|pause| pause.upstream != from.0 && pause.upstream != to.0);
        }
    }

    fn fail(&mut self, now: Instant, attempt: Attempt, flaw: Flaw) -> Step {
        let Some(index) = self.running.iter().position(|one| one.attempt == attempt) else {
            return Step::Wait;
        };
        let upstream = self.running.swap_remove(index).actor().clone();
        self.pause(now, &upstream);
        Step::End(Outcome::Failed { upstream, flaw })
    }

    fn is_paused(&self, now: Instant, upstream: &Upstream) -> bool {
        self.pauses.iter().any(|pause| pause.upstream == *upstream && now < pause.until)
    }

    fn pause(&mut self, now: Instant, upstream: &Upstream) {
        let former = self.pauses.iter().position(|pause| pause.upstream == *upstream);
        let failures = former.map_or(0, |index| self.pauses.swap_remove(index).failures + 1);
        let until = now + FIRST_PAUSE * (1 << failures.min(MAX_DOUBLINGS));
        self.pauses.push(Pause { upstream: upstream.clone(), until, failures });
    }
}
