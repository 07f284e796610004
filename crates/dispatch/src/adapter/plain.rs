//! Plain services over HTTP.

use names::Attempt;

use super::{ATTEMPT_HEADER, Adapter, Head, Judgement, field};
use crate::{Field, Verdict};

/// Services whose answers are passed on as they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Plain;

impl Adapter for Plain {
    fn headers(&self, attempt: Attempt, _: u64) -> Vec<Field> {
        vec![field(ATTEMPT_HEADER, attempt.to_string())]
    }

    fn judge(&self, attempt: Attempt, _: u64, head: &Head) -> Judgement {
        if !head.is_of(attempt) {
            return Judgement::Crossed;
        }
        if head.status >= 400 && head.says_not_run() {
            return Judgement::Failed(Verdict::NotRun);
        }
        Judgement::Accepted
    }

    fn is_whole(&self, head: &Head, _: &[u8]) -> bool {
        head.is_framed()
    }

    fn can_resume(&self) -> bool {
        false
    }
}
