//! Model engines that speak the chat-completions format.

use names::Attempt;
use serde::de::IgnoredAny;

use super::{ATTEMPT_HEADER, Adapter, Head, Judgement, RESUME_HEADER, field};
use crate::{Field, Verdict};

/// Engines that resume a stream from a number of content events and cancel the work of a
/// connection that is closed.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChatCompletions;

impl Adapter for ChatCompletions {
    fn headers(&self, attempt: Attempt, offset: u64) -> Vec<Field> {
        let mut headers = vec![field(ATTEMPT_HEADER, attempt.to_string())];
        if offset > 0 {
            headers.push(field(RESUME_HEADER, offset.to_string()));
        }
        headers
    }

    fn judge(&self, attempt: Attempt, offset: u64, head: &Head) -> Judgement {
        if !head.is_of(attempt) {
            return Judgement::Crossed;
        }
        match head.status {
            408 | 429 | 500..=599 if head.says_not_run() => Judgement::Failed(Verdict::NotRun),
            408 | 429 | 500..=599 => Judgement::Failed(Verdict::MayHaveRun),
            200 if offset > 0 && head.header(RESUME_HEADER) != Some(&offset.to_string()) => {
                Judgement::NotResumed
            }
            _ => Judgement::Accepted,
        }
    }

    fn is_whole(&self, head: &Head, body: &[u8]) -> bool {
        head.status != 200 || serde_json::from_slice::<IgnoredAny>(body).is_ok()
    }

    fn can_resume(&self) -> bool {
        true
    }
}
