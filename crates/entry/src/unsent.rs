//! Evidence that a request has not run.

use dispatch::Verdict;

/// Evidence that a request has not run and will not run. The server makes it for each request that
/// it reads, and it cannot be copied. An attempt holds the evidence while it is in progress, so that
/// it is lost with an attempt that is cancelled or may have run.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    pub(crate) fn new() -> Self {
        Self(())
    }

    /// Returns the evidence that is left after the attempt that held it has ended with `verdict`.
    pub fn after(self, verdict: Verdict) -> Option<Self> {
        match verdict {
            Verdict::NotRun => Some(self),
            Verdict::Answered | Verdict::MayHaveRun => None,
        }
    }
}
