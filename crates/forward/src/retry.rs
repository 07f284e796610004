//! Decides what follows a failed attempt of a request.

use dispatch::Verdict;

/// Number of attempts that may end with the proof that the request did not run, in addition to the
/// attempts that the route allows.
const MAX_REFUSALS: usize = 3;

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the request may run twice without harm.
    pub is_idempotent: bool,
    /// Whether the caller has received part of the response.
    pub has_started: bool,
    /// Whether another upstream can resume an interrupted stream.
    pub can_resume: bool,
    /// Number of attempts of this request that may have run.
    pub runs: usize,
    /// Number of attempts of this request that did not run.
    pub refusals: usize,
    /// Maximum number of upstreams that may run the request.
    pub attempts: usize,
    /// Whether the deadline leaves time for another attempt.
    pub has_time: bool,
    /// Whether another attempt could crash another upstream.
    pub is_dangerous: bool,
}

/// The next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryDecision {
    /// Retry the request from the start.
    Again,
    /// Resume the stream after its last event.
    Resume,
    /// Report to the caller that the request did not run.
    Refuse,
    /// Report to the caller that the request failed and may have run.
    Fail,
    /// Abort the response so that the caller detects that the response is incomplete.
    Cut,
}

/// What to do with an attempt whose upstream is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceDecision {
    /// Wait for the upstream, which may be sound and go on.
    Wait,
    /// Move the request to another upstream if one can take it.
    Move,
}

impl FailedAttempt {
    /// Returns what to do with an attempt that is not known to have failed, but whose upstream is
    /// silent. `may_repeat` returns whether a retry is left in the budget.
    pub fn on_silence<B>(&self, may_repeat: B) -> SilenceDecision
    where
        B: FnOnce() -> bool,
    {
        match self.next(may_repeat) {
            RetryDecision::Again | RetryDecision::Resume => SilenceDecision::Move,
            RetryDecision::Refuse | RetryDecision::Fail | RetryDecision::Cut => {
                SilenceDecision::Wait
            }
        }
    }

    /// Returns the next step. `may_repeat` takes one retry from the budget and returns false when
    /// none is left.
    pub fn next<B>(&self, may_repeat: B) -> RetryDecision
    where
        B: FnOnce() -> bool,
    {
        let may_have_run = self.verdict == Verdict::MayHaveRun || self.runs > 0;
        let give_up = match (self.has_started, may_have_run) {
            (true, _) => RetryDecision::Cut,
            (false, true) => RetryDecision::Fail,
            (false, false) => RetryDecision::Refuse,
        };
        let is_retryable = self.verdict.allows_retry(self.is_idempotent);
        let has_attempts = self.runs < self.attempts && self.refusals <= MAX_REFUSALS;
        if !is_retryable || !has_attempts || !self.has_time || self.is_dangerous {
            return give_up;
        }
        if self.has_started && !self.can_resume {
            return RetryDecision::Cut;
        }
        match (may_repeat(), self.has_started) {
            (false, _) => give_up,
            (true, true) => RetryDecision::Resume,
            (true, false) => RetryDecision::Again,
        }
    }
}
