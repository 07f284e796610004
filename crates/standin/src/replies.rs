//! HTTP responses of stand-in engines.

use entry::{Header, Reply, Status};
use serde::Serialize;
use stakker::Fwd;

use crate::Context;

/// Returns a complete JSON response with `value` as its body.
pub(crate) fn json_reply<T>(status: Status, value: &T) -> Reply
where
    T: Serialize,
{
    let headers = vec![Header::new("content-type", "application/json")];
    Reply::Whole { status, headers, body: serde_json::to_vec(value).unwrap_or_default() }
}

/// Returns a complete JSON response with `value` as its body and additional headers.
pub(crate) fn json_reply_with<T>(value: &T, extra_headers: Vec<Header>) -> Reply
where
    T: Serialize,
{
    let mut reply = json_reply(Status::OK, value);
    if let Reply::Whole { headers, .. } = &mut reply {
        headers.extend(extra_headers);
    }
    reply
}

/// Sends the first half of a context and then closes the connection.
pub(crate) fn send_truncated(context: &Context, extra_headers: Vec<Header>, reply: &Fwd<Reply>) {
    let mut body = serde_json::to_vec(context).unwrap_or_default();
    body.truncate(body.len() / 2);
    reply.fwd(Reply::Start { status: Status::OK, headers: extra_headers, length: None });
    reply.fwd(Reply::Part(body));
    reply.fwd(Reply::Cut);
}

/// Returns the head of a streamed response, with or without chunks.
pub(crate) fn stream_start(extra_headers: &[Header], is_framed: bool) -> Reply {
    let mut headers = vec![
        Header::new("content-type", "text/event-stream"),
        Header::new("cache-control", "no-cache"),
    ];
    headers.extend_from_slice(extra_headers);
    match is_framed {
        true => Reply::Start { status: Status::OK, headers, length: None },
        false => Reply::StartUnframed { status: Status::OK, headers },
    }
}

/// Returns an event of a streamed response.
pub(crate) fn server_sent_event(value: &serde_json::Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
