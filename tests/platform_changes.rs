//! Tests of changes to a large document: a change of one route takes little bandwidth between
//! instances and is soon in force everywhere.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use serde_json::Value;
use support::machines::{KEY, Machine, Machines, document, newest_number, put_document};
use support::wait_for;
use support::worker::{Behaviour, Worker, send_request, send_request_with_timeout};

/// Number of routes in a large document: about 260 KB with names that hardly compress.
const ROUTE_COUNT: u64 = 1000;

/// Lower bound on the compressed size of a large document, in bytes: its names alone.
const MIN_COMPRESSED_BYTES: u64 = 20_000;

/// Upper bound on the time until a change is in force at every entry instance.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(2000);

fn large_document(number: u64, timeout_millis: u64) -> Value {
    let mut document = document(number);
    let routes = document["routes"].as_array_mut().unwrap();
    let template = routes[3].clone();
    for index in 0..ROUTE_COUNT {
        let name = index.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5DEE_CE66;
        let mut route = template.clone();
        route["name"] = format!("r-{name:016x}").into();
        route["path-prefix"] = format!("/{:016x}/", name.rotate_left(23)).into();
        routes.push(route);
    }
    routes[500]["timeout-ms"] = timeout_millis.into();
    document
}

/// Returns the bytes that an instance has sent for documents, through the replicated log and
/// through feeds.
fn document_bytes(instance: &Machine) -> u64 {
    let page =
        send_request_with_timeout(instance.metrics(), "GET", "/metrics", &[], "", 5).unwrap();
    let text = page.text();
    let is_document_sample = |line: &&str| {
        let metric = "turmericrelay_peer_bytes_total";
        line.starts_with(metric) && (line.contains("\"state\"") || line.contains("\"feed\""))
    };
    let counts = text.lines().filter(is_document_sample).filter_map(|line| line.rsplit(' ').next());
    counts.map(|count| count.parse::<u64>().unwrap()).sum()
}

#[test]
fn a_change_of_one_route_does_not_resend_the_whole_document() {
    let machines = Machines::start(3, 3);
    machines.put_document_until_acknowledged(&document(5));
    machines.put_document_until_acknowledged(&large_document(6, 6000));
    machines.wait_document_in_force(6);
    std::thread::sleep(Duration::from_secs(1));
    let instances = || machines.controls.iter().chain(&machines.entries);
    let bytes_before: u64 = instances().map(document_bytes).sum();
    let started = Instant::now();
    let text = large_document(7, 7000).to_string();
    let answer = put_document(machines.controls[1].control(), &text).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    machines.wait_document_in_force(7);
    let elapsed = started.elapsed();
    let bytes = instances().map(document_bytes).sum::<u64>() - bytes_before;
    println!("{bytes} bytes between instances, in force after {elapsed:?}");
    assert!(bytes < MIN_COMPRESSED_BYTES, "{bytes} bytes");
    assert!(elapsed <= MAX_PROPAGATION_TIME, "{elapsed:?}");
    for control in &machines.controls {
        wait_for("arrival of the document at a control instance", || {
            (newest_number(control.control()) == Some(7)).then_some(())
        });
    }
}

#[test]
fn concurrent_documents_are_all_acknowledged_and_the_highest_number_is_in_force() {
    let machines = Machines::start(3, 2);
    machines.put_document_until_acknowledged(&large_document(6, 6000));
    machines.wait_document_in_force(6);
    for round in 0..4 {
        let numbers = [10 + round * 10, 11 + round * 10, 12 + round * 10];
        let requests: Vec<_> = numbers
            .iter()
            .zip(&machines.controls)
            .map(|(number, control)| {
                let text = large_document(*number, 1000 + number).to_string();
                let address = control.control();
                std::thread::spawn(move || put_document(address, &text).unwrap().status)
            })
            .collect();
        let statuses: Vec<u16> =
            requests.into_iter().map(|request| request.join().unwrap()).collect();
        assert_eq!(statuses, [200, 200, 200], "round {round}");
        machines.wait_document_in_force(numbers[2]);
    }
    for control in &machines.controls {
        let answer =
            send_request_with_timeout(control.control(), "GET", "/v1/configuration", &[], "", 5);
        let document: Value = serde_json::from_slice(&answer.unwrap().body).unwrap();
        assert_eq!(document, large_document(42, 1042));
    }
}

#[test]
fn a_lowered_connection_limit_does_not_make_an_upstream_unreachable() {
    let machines = Machines::start(3, 1);
    let mut document = document(7);
    document["services"][1]["connection-limit"] = 4.into();
    machines.put_document_until_acknowledged(&document);
    let shop = Worker::start("i-shop-1", "shop", machines.seeds());
    shop.set_behaviour(Behaviour::Slow);
    let instance = &machines.entries[0];
    wait_for("arrival of the upstream at the entry instance", || {
        (!instance.events("upstream").is_empty()).then_some(())
    });
    machines.wait_ready(7);
    let key = format!("Token {KEY}");
    let book = |number: usize| {
        let (address, key, id) = (instance.callers(), key.clone(), format!("booking-{number}"));
        std::thread::spawn(move || {
            let headers = [("Request-Id", id.as_str()), ("Authorization", key.as_str())];
            send_request(address, "POST", "/bookings/1", &headers, "").unwrap()
        })
    };
    let bookings: Vec<_> = (0..8).map(book).collect();
    let answers: Vec<_> = bookings.into_iter().map(|booking| booking.join().unwrap()).collect();
    let answered = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(answered >= 4, "{answered} answered");
    for refused in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(refused.status, 503, "{}", refused.text());
        assert!(refused.headers.contains_key("retry-after"));
    }
    assert_eq!(instance.events("avoided"), Vec::<Value>::new());
}
