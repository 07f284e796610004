//! One request of the load.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

/// How long after its deadline an answer is still waited for, to count it as late.
const GRACE: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// Its whole answer arrived.
    Answered,
    /// It was refused.
    Refused,
    /// Its answer was cut, did not come, or was an error of the server.
    Failed,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// How it ended.
    pub end: End,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// When it ended.
    pub ended: Instant,
}

/// One request to send.
pub(crate) struct Call<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) key: &'a str,
    pub(crate) kind: &'a str,
    pub(crate) conversation: u64,
    pub(crate) body: &'a Value,
    pub(crate) deadline: Instant,
}

pub(crate) fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).proxy(None).build().new_agent()
}

/// An agent that threads share, with up to `connections` kept open to each address.
pub(crate) fn shared_agent(connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build()
        .new_agent()
}

/// Sends a request and reads its answer to the end.
pub(crate) fn send(agent: &Agent, call: &Call<'_>) -> Seen {
    let now = Instant::now();
    let left = call.deadline.saturating_duration_since(now);
    let sent = agent
        .post(format!("http://{}/v1/chat/completions", call.address))
        .config()
        .timeout_global(Some(left + GRACE))
        .build()
        .header("authorization", format!("Bearer {}", call.key))
        .header("content-type", "application/json")
        .header("x-turmericrelay-kind", call.kind)
        .header("x-turmericrelay-conversation", format!("{:016x}", call.conversation))
        .header("x-turmericrelay-deadline", format!("{}ms", left.as_millis().max(1)))
        .send(call.body.to_string());
    let failed = || Seen { end: End::Failed, first_token: None, ended: Instant::now() };
    match sent {
        Ok(response) if response.status().is_success() => read(response),
        Ok(response) if matches!(response.status().as_u16(), 429 | 503 | 504) => {
            Seen { end: End::Refused, ..failed() }
        }
        _ => failed(),
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Seen {
    let mut first_token = None;
    let mut is_whole = false;
    for line in BufReader::new(response.body_mut().as_reader()).lines() {
        let Ok(line) = line else {
            break;
        };
        if line.starts_with("data: ") && first_token.is_none() {
            first_token = Some(Instant::now());
        }
        is_whole |= line == "data: [DONE]";
    }
    let end = if is_whole { End::Answered } else { End::Failed };
    Seen { end, first_token, ended: Instant::now() }
}
