//! Operator client: sends declarations to instances and reads the revision that is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Fleet, Plan, declarations, wait_for};

pub const AMAL_TOKEN: &str = "token-of-amal-for-tests";
pub const BERT_TOKEN: &str = "token-of-bert-for-tests";

/// Longest time until a revision is in force at every instance of a fleet without faults.
pub const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Longest time until a revision is in force at every instance after restarts and network
/// partitions that heal.
pub const MAX_RECOVERY_TIME: Duration = Duration::from_secs(17);

/// Timeout of one request; when it expires, the order is sent again through another instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns the plan of a fleet with one voter and the tokens of two operators, Amal and Bert.
pub fn plan_with_operators(data_centres: &[&str]) -> Plan {
    let tokens = json!({ "amal": AMAL_TOKEN, "bert": BERT_TOKEN });
    Plan::new(data_centres).with_voters(1).with_setting("operator_tokens", tokens)
}

/// Response to an operator's request.
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
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

fn read_reply(response: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Option<Reply> {
    let mut response = response.ok()?;
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| Some(value.to_str().ok()?.to_string()));
    let text = response.body_mut().read_to_string().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(Reply { status, retry_after, body })
}

/// Posts an order; returns `None` if no complete response arrived.
pub fn try_order(address: SocketAddr, token: &str, path: &str, body: &str) -> Option<Reply> {
    let url = format!("http://{address}{path}");
    read_reply(agent().post(url).header("authorization", format!("Bearer {token}")).send(body))
}

/// Posts an order and panics if no complete response arrived.
pub fn order(address: SocketAddr, token: &str, path: &str, body: &str) -> Reply {
    try_order(address, token, path, body).unwrap()
}

/// Reads `path` with Amal's token; returns `None` if no complete response arrived.
pub fn try_get_as_operator(address: SocketAddr, path: &str) -> Option<Reply> {
    try_get_as(AMAL_TOKEN, address, path)
}

fn try_get_as(token: &str, address: SocketAddr, path: &str) -> Option<Reply> {
    let request = agent().get(format!("http://{address}{path}"));
    read_reply(request.header("authorization", format!("Bearer {token}")).call())
}

/// Reads `path` with Amal's token and panics if no complete response arrived.
pub fn get_as_operator(address: SocketAddr, path: &str) -> Reply {
    try_get_as_operator(address, path).unwrap()
}

/// Returns the operator address of the instance at `index`.
pub fn operators(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.instances[index].addresses.operators
}

/// Returns the default declarations with the given weight for the client account.
pub fn declarations_with_weight(weight: u64) -> String {
    format!("{}    weight: {weight}\n", declarations())
}

/// Posts declarations with a new account weight as the order `order_id`, based on revision `base`.
pub fn apply(
    fleet: &Fleet,
    index: usize,
    token: &str,
    base: u64,
    order_id: &str,
    weight: u64,
) -> Reply {
    let path = format!("/declarations?base={base}&order={order_id}");
    order(operators(fleet, index), token, &path, &declarations_with_weight(weight))
}

/// Returns the revision that is in force at an instance, or `None` if the instance does not answer
/// or does not know the revision.
pub fn revision(fleet: &Fleet, index: usize) -> Option<u64> {
    revision_at(operators(fleet, index))
}

/// Returns the revision that is in force at the instance with this operator address.
pub fn revision_at(address: SocketAddr) -> Option<u64> {
    revision_with_token(AMAL_TOKEN, address)
}

/// Returns the revision that is in force, read with the given operator token.
pub fn revision_with_token(token: &str, address: SocketAddr) -> Option<u64> {
    let reply = try_get_as(token, address, "/declarations")?;
    reply.body["revision"].as_u64()
}

/// Waits until the revision `expected` is in force at all `instances`; returns the elapsed time.
pub fn wait_until_in_force(fleet: &Fleet, instances: &[usize], expected: u64) -> Duration {
    let start = Instant::now();
    for index in instances {
        wait_for("revision in force", || (revision(fleet, *index)? == expected).then_some(()));
    }
    start.elapsed()
}
