//! HTTP client that sends one chat-completions request and observes the streamed response.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

/// Time after the deadline for which a call still waits for the response, to count it as late.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete response arrived.
    Answered,
    /// The server refused the request (status 429, 503 or 504).
    Refused,
    /// The response was incomplete, did not arrive in time, or had any other error status.
    Failed,
}

/// Result of one request as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time at which the first token arrived, if one did.
    pub first_token_at: Option<Instant>,
    /// Time at which the request ended.
    pub ended_at: Instant,
}

/// Request to send, with its destination and deadline.
pub(crate) struct Call<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) api_key: &'a str,
    pub(crate) kind: &'a str,
    pub(crate) conversation: u64,
    pub(crate) body: &'a Value,
    pub(crate) deadline: Instant,
}

/// Creates an HTTP client for one thread.
pub(crate) fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).proxy(None).build().new_agent()
}

/// Creates an HTTP client that threads share, with up to `connections` idle connections to each
/// address.
pub(crate) fn shared_agent(connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build()
        .new_agent()
}

/// Sends a request and reads the response to the end.
pub(crate) fn send_call(agent: &Agent, call: &Call<'_>) -> Observation {
    let now = Instant::now();
    let remaining = call.deadline.saturating_duration_since(now);
    let result = agent
        .post(format!("http://{}/v1/chat/completions", call.address))
        .config()
        .timeout_global(Some(remaining + LATE_RESPONSE_TIMEOUT))
        .build()
        .header("authorization", format!("Bearer {}", call.api_key))
        .header("content-type", "application/json")
        .header("x-turmericrelay-kind", call.kind)
        .header("x-turmericrelay-conversation", format!("{:016x}", call.conversation))
        .header("x-turmericrelay-deadline", format!("{}ms", remaining.as_millis().max(1)))
        .send(call.body.to_string());
    let failed_call =
        || Observation { outcome: Outcome::Failed, first_token_at: None, ended_at: Instant::now() };
    match result {
        Ok(response) if response.status().is_success() => read_stream(response),
        Ok(response) if matches!(response.status().as_u16(), 429 | 503 | 504) => {
            Observation { outcome: Outcome::Refused, ..failed_call() }
        }
        _ => failed_call(),
    }
}

/// Reads a response of server-sent events, which is complete once `[DONE]` has arrived.
fn read_stream(mut response: ureq::http::Response<ureq::Body>) -> Observation {
    let mut first_token_at = None;
    let mut is_complete = false;
    for line in BufReader::new(response.body_mut().as_reader()).lines() {
        let Ok(line) = line else {
            break;
        };
        if line.starts_with("data: ") && first_token_at.is_none() {
            first_token_at = Some(Instant::now());
        }
        is_complete |= line == "data: [DONE]";
    }
    let outcome = if is_complete { Outcome::Answered } else { Outcome::Failed };
    Observation { outcome, first_token_at, ended_at: Instant::now() }
}
