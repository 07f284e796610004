//! Adapter for plain HTTP services.

use names::Attempt;

use super::{ATTEMPT_HEADER, Adapter, Head, HeadOutcome, header_field};
use crate::{Field, Verdict};

/// Adapter for services whose responses are passed on unchanged.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plain;

impl Adapter for Plain {
    fn headers(&self, attempt: Attempt, _: u64) -> Vec<Field> {
        vec![header_field(ATTEMPT_HEADER, attempt.to_string())]
    }

    fn check_head(&self, attempt: Attempt, _: u64, head: &Head) -> HeadOutcome {
        if !head.matches_attempt(attempt) {
            return HeadOutcome::WrongAttempt;
        }
        if head.status >= 400 && head.reports_not_run() {
            return HeadOutcome::Failed(Verdict::NotRun);
        }
        HeadOutcome::Accepted
    }

    fn is_complete(&self, head: &Head, _: &[u8]) -> bool {
        head.has_delimited_body()
    }

    fn can_resume(&self) -> bool {
        false
    }
}
