//! What engines answer with.

use entry::{Header, Reply, Status};
use serde::Serialize;
use stakker::Fwd;

use crate::Context;

/// `value` as a whole answer in JSON.
pub(crate) fn json_reply<T>(status: Status, value: &T) -> Reply
where
    T: Serialize,
{
    let headers = vec![Header::new("content-type", "application/json")];
    Reply::Whole { status, headers, body: serde_json::to_vec(value).unwrap_or_default() }
}

/// `value` as a whole answer in JSON, with further headers.
pub(crate) fn json_reply_with<T>(value: &T, echo: Vec<Header>) -> Reply
where
    T: Serialize,
{
    let mut reply = json_reply(Status::OK, value);
    if let Reply::Whole { headers, .. } = &mut reply {
        headers.extend(echo);
    }
    reply
}

/// Sends the first half of a context.
pub(crate) fn break_off(context: &Context, echo: Vec<Header>, reply: &Fwd<Reply>) {
    let mut body = serde_json::to_vec(context).unwrap_or_default();
    body.truncate(body.len() / 2);
    reply.fwd(Reply::Start { status: Status::OK, headers: echo, length: None });
    reply.fwd(Reply::Part(body));
    reply.fwd(Reply::Cut);
}

/// The head of a streamed answer.
pub(crate) fn stream_start(echo: &[Header]) -> Reply {
    let mut headers = vec![
        Header::new("content-type", "text/event-stream"),
        Header::new("cache-control", "no-cache"),
    ];
    headers.extend_from_slice(echo);
    Reply::Start { status: Status::OK, headers, length: None }
}

/// One event of a streamed answer.
pub(crate) fn server_sent_event(value: &serde_json::Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
