//! How the server's own answers look.

use crate::{Problem, Reply};

/// The interface that callers speak, as far as the server itself answers in it.
pub trait Form {
    /// The answer to a request that is refused or failed.
    fn refusal(&self, problem: Problem) -> Reply;

    /// The header, in lower case, in which answers carry the server's id of the request.
    fn request_id_header(&self) -> Option<&'static str>;
}

/// Refusals in the error form of the chat-completions format.
pub struct ChatForm;

impl Form for ChatForm {
    fn refusal(&self, problem: Problem) -> Reply {
        problem.into_reply()
    }

    fn request_id_header(&self) -> Option<&'static str> {
        Some("x-request-id")
    }
}
