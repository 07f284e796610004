//! Requests to entry instances of the users' platform, and upstreams for them.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use super::machines::{KEY, Machine, Machines};
use super::wait_for;
use super::worker::{Behaviour, HttpResponse, Worker, send_request};

/// Sends a request whose caller waits for five seconds.
pub fn call(address: SocketAddr, path: &str, id: &str) -> HttpResponse {
    call_within(address, path, id, "5000")
}

/// Sends a request whose caller waits for `millis` milliseconds.
pub fn call_within(address: SocketAddr, path: &str, id: &str, millis: &str) -> HttpResponse {
    let key = format!("Token {KEY}");
    let headers = [
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,bb:200,cc:10"),
        ("Token-Counts", "310,40"),
        ("Deadline-Remaining", millis),
    ];
    send_request(address, "POST", path, &headers, "the body").unwrap()
}

/// Sends a request with the prompt `prompt` whose caller waits for five seconds.
pub fn call_with_prompt(
    address: SocketAddr,
    path: &str,
    id: &str,
    prompt: &str,
) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", prompt),
        ("Token-Counts", "160,40"),
        ("Deadline-Remaining", "5000"),
    ];
    send_request(address, "POST", path, &headers, "the body")
}

pub fn call_in_background(address: SocketAddr, path: &str, id: &str) -> JoinHandle<HttpResponse> {
    let (path, id) = (path.to_string(), id.to_string());
    std::thread::spawn(move || call(address, &path, &id))
}

/// Starts an upstream and waits until the first entry instance knows it.
pub fn start_upstream(
    machines: &Machines,
    name: &str,
    service: &str,
    behaviour: Behaviour,
) -> Worker {
    let worker = Worker::start(name, service, machines.seeds());
    worker.set_behaviour(behaviour);
    wait_for("arrival of an upstream at the entry instance", || {
        let known = machines.entries[0].events("upstream");
        known.iter().any(|line| line["upstream"] == name).then_some(())
    });
    worker
}

/// Waits until `instance` has logged `count` lines that report `event`.
pub fn wait_events(instance: &Machine, event: &str, count: usize) {
    wait_for("lines of the log", || (instance.events(event).len() >= count).then_some(()));
}
