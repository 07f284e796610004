//! HTTP client for the callers' and operators' interfaces of an instance, and for stand-ins.

use std::io::Read;
use std::net::SocketAddr;

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// API key of the client account in the default declarations.
pub const API_KEY: &str = "test-key-of-nasr";

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .new_agent()
}

/// Sends a GET request and returns the body of a successful response. The error is the body of any
/// other response, or the text of the transport error.
pub fn get(address: SocketAddr, path: &str) -> Result<String, String> {
    let mut response =
        agent().get(format!("http://{address}{path}")).call().map_err(|error| error.to_string())?;
    let body = response.body_mut().read_to_string().map_err(|error| error.to_string())?;
    if response.status().is_success() { Ok(body) } else { Err(body) }
}

/// Response to a caller's request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub verdict: Option<String>,
    pub retry_after: Option<String>,
    pub request_id: Option<String>,
    pub body: String,
}

/// Posts JSON with [`API_KEY`].
pub fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Answer, String> {
    post_as(API_KEY, address, path, headers, body)
}

/// Posts JSON with the API key `key`.
pub fn post_as(
    key: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Answer, String> {
    let mut request = agent()
        .post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body.to_string()).map_err(|error| error.to_string())?;
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_string());
    let (verdict, retry_after, request_id) =
        (header("x-turmericrelay-verdict"), header("retry-after"), header("x-request-id"));
    let status = response.status().as_u16();
    let mut text = String::new();
    response.body_mut().as_reader().read_to_string(&mut text).map_err(|error| error.to_string())?;
    Ok(Answer { status, verdict, retry_after, request_id, body: text })
}

/// Returns the body of a chat-completions request for an answer of `words` words.
pub fn chat(text: &str, words: usize, streams: bool) -> Value {
    json!({
        "model": "caption-small",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": words,
        "stream": streams,
    })
}

/// Returns the text with which a stand-in engine answers `chat(text, words, _)`.
pub fn expected_answer(text: &str, words: usize) -> String {
    standin::answer(&format!("user: {text}\n"), words)
}

/// Returns the text of a streamed answer, or `None` if the final `[DONE]` event is missing.
pub fn streamed_text(body: &str) -> Option<String> {
    let mut text = String::new();
    let mut is_complete = false;
    for line in body.lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => is_complete = true,
            Some(event) => {
                let event: Value = serde_json::from_str(event).ok()?;
                text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
            }
            None => {}
        }
    }
    is_complete.then_some(text)
}

/// Sets the fault that a stand-in injects from now on.
pub fn set_fault(address: SocketAddr, fault: &str) {
    let mut response = agent().post(format!("http://{address}/fault")).send(fault).unwrap();
    let body = response.body_mut().read_to_string().unwrap();
    assert!(response.status().is_success(), "{body}");
}

/// Returns the ids of the events of a streamed answer, with consecutive duplicates removed, and the
/// number of `[DONE]` events.
pub fn stream_ids(body: &str) -> (Vec<String>, usize) {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let (done_events, chunks): (Vec<&str>, Vec<&str>) =
        events.partition(|event| *event == "[DONE]");
    let id = |chunk: &str| serde_json::from_str::<Value>(chunk).unwrap()["id"].to_string();
    let mut ids: Vec<String> = chunks.into_iter().map(id).collect();
    ids.dedup();
    (ids, done_events.len())
}

/// Path of bookings at the service `shop`.
pub const BOOKINGS: &str = "/services/shop/bookings";

/// Returns the body of a booking request.
pub fn booking(family: &str) -> Value {
    json!({ "family": family })
}

/// Posts a booking with an idempotency key and a deadline of 3 s.
pub fn post_booking(address: SocketAddr, key: &str, family: &str) -> Result<Answer, String> {
    let headers = [("idempotency-key", key), ("x-turmericrelay-deadline", "3s")];
    post(address, BOOKINGS, &headers, &booking(family))
}

/// Posts a booking whose headers state that its idempotency key was not sent before.
pub fn post_first_booking(address: SocketAddr, key: &str, family: &str) -> Result<Answer, String> {
    let headers = [
        ("idempotency-key", key),
        ("x-turmericrelay-deadline", "3s"),
        ("x-turmericrelay-resend", "false"),
    ];
    post(address, BOOKINGS, &headers, &booking(family))
}

/// Returns how often the booking of `family` was executed, counted in the journal of the services.
pub fn count_executions(journal: &std::path::Path, family: &str) -> usize {
    let journal = std::fs::read_to_string(journal).unwrap_or_default();
    let body = format!("\"body\":{}", Value::String(booking(family).to_string()));
    journal.lines().filter(|line| line.contains(&body)).count()
}
