//! What follows a failed attempt.

use dispatch::Verdict;

/// Most attempts that end with the proof that nothing ran, beyond those that a route allows.
const REFUSED_ATTEMPTS: usize = 3;

/// How a request stands when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setback {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the request may run twice without harm.
    pub is_idempotent: bool,
    /// Whether the caller has received part of the answer.
    pub has_started: bool,
    /// Whether a stream that broke off can go on elsewhere.
    pub can_resume: bool,
    /// Attempts of this request that may have run.
    pub runs: usize,
    /// Attempts of this request that did not run.
    pub refusals: usize,
    /// Most upstreams that may run the request.
    pub attempts: usize,
    /// Whether time is left for another attempt.
    pub has_time: bool,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Next {
    /// Send the request again from the start.
    Again,
    /// Go on with the stream after its last event.
    Resume,
    /// Tell the caller that the request did not run.
    Refuse,
    /// Tell the caller that the request failed and may have run.
    Fail,
    /// Cut the answer so that the caller can tell that it is not whole.
    Cut,
}

impl Setback {
    /// Chooses the next step; `may_repeat` takes a repeat from the budget.
    pub fn next<B>(&self, may_repeat: B) -> Next
    where
        B: FnOnce() -> bool,
    {
        let has_run = self.verdict == Verdict::MayHaveRun || self.runs > 0;
        let give_up = match (self.has_started, has_run) {
            (true, _) => Next::Cut,
            (false, true) => Next::Fail,
            (false, false) => Next::Refuse,
        };
        let is_harmless = self.verdict.allows_retry(self.is_idempotent);
        let has_attempts = self.runs < self.attempts && self.refusals <= REFUSED_ATTEMPTS;
        if !is_harmless || !has_attempts || !self.has_time {
            return give_up;
        }
        if self.has_started && !self.can_resume {
            return Next::Cut;
        }
        match (may_repeat(), self.has_started) {
            (false, _) => give_up,
            (true, true) => Next::Resume,
            (true, false) => Next::Again,
        }
    }
}
