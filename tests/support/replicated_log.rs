//! Client of the replicated log: requests leases and reads the replica state through the operator
//! interface.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{Fleet, WAIT_TIMEOUT, get, wait_for};

/// Operator token in the settings of these tests.
pub const TOKEN: &str = "a token of operators for tests";

/// Outcome of a command.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// The lease was granted with this fencing token.
    Granted(u64),
    /// The command was not executed.
    NotRun,
    /// The response was lost or does not state whether the command was executed.
    MayHaveRun,
}

/// Requests the lease of `resource` through the instance at `address`.
pub fn request_lease(address: SocketAddr, resource: &str) -> Outcome {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .new_agent();
    let command = json!({ "Take": {
        "resource": resource, "holder": "tester", "span_millis": 1000, "lapsed": null,
    } });
    let answer = agent
        .post(format!("http://{address}/state/leases"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .send(command.to_string());
    let Ok(mut answer) = answer else {
        return Outcome::MayHaveRun;
    };
    let Ok(text) = answer.body_mut().read_to_string() else {
        return Outcome::MayHaveRun;
    };
    let body: Value = serde_json::from_str(&text).unwrap();
    match answer.status().as_u16() {
        200 => Outcome::Granted(body["Granted"]["fence"].as_u64().unwrap()),
        503 => Outcome::NotRun,
        _ => Outcome::MayHaveRun,
    }
}

/// Returns the operator address of the instance at `index`.
pub fn operators(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.instances[index].addresses.operators
}

/// Returns the replica state of an instance, or `None` if it does not answer.
pub fn status(fleet: &Fleet, index: usize) -> Option<Value> {
    serde_json::from_str(&get(operators(fleet, index), "/state").ok()?).ok()
}

/// Waits until an instance of `group` is the leader; returns its index.
pub fn wait_for_leader(fleet: &Fleet, group: &[usize]) -> usize {
    wait_for("the election of a leader", || {
        let is_leading = |index: &usize| {
            status(fleet, *index).is_some_and(|status| {
                let is_leader = status["role"] == "leader";
                is_leader && status["leader"] == fleet.instances[*index].addresses.name.as_str()
            })
        };
        group.iter().copied().find(is_leading)
    })
}

/// Requests a lease through an instance until it is granted; returns the fencing token.
pub fn request_lease_until_granted(fleet: &Fleet, index: usize, resource: &str) -> u64 {
    wait_for("the grant of a lease", || match request_lease(operators(fleet, index), resource) {
        Outcome::Granted(fencing_token) => Some(fencing_token),
        _ => None,
    })
}

/// Returns the leases that an instance lists, as JSON text, or `None` if it does not answer.
pub fn leases(fleet: &Fleet, index: usize) -> Option<String> {
    get(operators(fleet, index), "/state/leases").ok()
}

/// Waits until an instance lists the lease of `resource`.
pub fn wait_for_lease(fleet: &Fleet, index: usize, resource: &str) {
    let quoted = format!("\"{resource}\"");
    wait_for("lease at the voter", || leases(fleet, index)?.contains(&quoted).then_some(()));
}
