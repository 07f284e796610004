//! Operators that declare, and what is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Fleet, Plan, declarations, wait_for};

pub const AMAL: &str = "token-of-amal-for-tests";
pub const BERT: &str = "token-of-bert-for-tests";

/// Target for a healthy fleet.
pub const HEALTHY: Duration = Duration::from_secs(2);

/// Target through restarts and cuts that heal.
pub const HEALED: Duration = Duration::from_secs(17);

/// How long an operator waits for one instance before the order is sent to another.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A fleet with the operators amal and bert and one voter.
pub fn declaring(data_centres: &[&str]) -> Plan {
    let tokens = json!({ "amal": AMAL, "bert": BERT });
    Plan::new(data_centres).with_voters(1).with_setting("operator_tokens", tokens)
}

/// What an operator got.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}

fn read(response: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Option<Reply> {
    let mut response = response.ok()?;
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| Some(value.to_str().ok()?.to_string()));
    let text = response.body_mut().read_to_string().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(Reply { status, retry_after, body })
}

/// Posts an order; none when the answer was lost.
pub fn try_order(address: SocketAddr, token: &str, path: &str, body: &str) -> Option<Reply> {
    let url = format!("http://{address}{path}");
    read(agent().post(url).header("authorization", format!("Bearer {token}")).send(body))
}

pub fn order(address: SocketAddr, token: &str, path: &str, body: &str) -> Reply {
    try_order(address, token, path, body).unwrap()
}

pub fn try_declared(address: SocketAddr, path: &str) -> Option<Reply> {
    try_declared_as(AMAL, address, path)
}

fn try_declared_as(token: &str, address: SocketAddr, path: &str) -> Option<Reply> {
    let request = agent().get(format!("http://{address}{path}"));
    read(request.header("authorization", format!("Bearer {token}")).call())
}

/// Reads a page as amal.
pub fn declared(address: SocketAddr, path: &str) -> Reply {
    try_declared(address, path).unwrap()
}

pub fn operators(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.instances[index].addresses.operators
}

/// The usual declarations with the account's weight changed.
pub fn weighing(weight: u64) -> String {
    format!("{}    weight: {weight}\n", declarations())
}

pub fn apply(fleet: &Fleet, index: usize, token: &str, base: u64, id: &str, weight: u64) -> Reply {
    let path = format!("/declarations?base={base}&order={id}");
    order(operators(fleet, index), token, &path, &weighing(weight))
}

/// The revision in force at an instance; none when it does not answer or does not know it.
pub fn revision(fleet: &Fleet, index: usize) -> Option<u64> {
    revision_at(operators(fleet, index))
}

pub fn revision_at(address: SocketAddr) -> Option<u64> {
    revision_with(AMAL, address)
}

/// The revision in force, read with an operator's token.
pub fn revision_with(token: &str, address: SocketAddr) -> Option<u64> {
    let reply = try_declared_as(token, address, "/declarations")?;
    reply.body["revision"].as_u64()
}

/// Waits until `wanted` is in force at all of `instances`; gives the time it took.
pub fn in_force(fleet: &Fleet, instances: &[usize], wanted: u64) -> Duration {
    let start = Instant::now();
    for index in instances {
        wait_for("revision in force", || (revision(fleet, *index)? == wanted).then_some(()));
    }
    start.elapsed()
}
