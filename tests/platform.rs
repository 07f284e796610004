//! End-to-end tests of the platform with real processes: documents, announcements, requests of each
//! kind, failing upstreams and graceful shutdown.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document, newest_number, put_document};
use support::wait_for;
use support::worker::{
    Behaviour, HttpResponse, Worker, complete_stream, event, read_response, send_request,
};

/// Time within which a draining upstream may still receive new requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);

fn call(address: SocketAddr, path: &str, id: &str) -> HttpResponse {
    call_with(address, path, id, &[])
}

fn call_with(
    address: SocketAddr,
    path: &str,
    id: &str,
    extra_headers: &[(&str, &str)],
) -> HttpResponse {
    let key = format!("Token {KEY}");
    let mut headers = vec![
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,bb:200,cc:10"),
        ("Token-Counts", "310,40"),
    ];
    headers.extend_from_slice(extra_headers);
    if !extra_headers.iter().any(|(name, _)| *name == "Deadline-Remaining") {
        headers.push(("Deadline-Remaining", "5000"));
    }
    send_request(address, "POST", path, &headers, "the body").unwrap()
}

struct Deployment {
    machines: Machines,
    engines: Vec<Worker>,
    shops: Vec<Worker>,
}

/// Starts three control and two entry instances with two upstreams of each service.
fn start_deployment() -> Deployment {
    let machines = Machines::start(3, 2);
    let controls = machines.seeds();
    let start = |name: &str, service: &str| Worker::start(name, service, controls.clone());
    let engines = vec![start("i-engine-1", "engines"), start("i-engine-2", "engines")];
    let shops = vec![start("i-shop-1", "shop"), start("i-shop-2", "shop")];
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    for instance in &machines.entries {
        wait_for("arrival of four upstreams at an entry instance", || {
            (instance.events("upstream").len() >= 4).then_some(())
        });
    }
    Deployment { machines, engines, shops }
}

/// Returns how often the request `id` ran at any of `workers`.
fn runs(workers: &[Worker], id: &str) -> usize {
    workers.iter().flat_map(Worker::executed_requests).filter(|run| run.request == id).count()
}

#[test]
fn requests_of_each_kind_reach_their_upstreams_unchanged() {
    let deployment = start_deployment();
    for (number, instance) in deployment.machines.entries.iter().enumerate() {
        let address = instance.callers();
        let id = format!("s{number}");
        let streamed = call(address, "/captions/a?b=c", &id);
        assert_eq!((streamed.status, streamed.is_complete), (200, true));
        assert_eq!(streamed.text(), complete_stream(&id));
        assert!(streamed.headers["server-stamp"].starts_with("i-engine"));
        let id = format!("b{number}");
        let booked = call_with(address, "/bookings/x", &id, &[("Tenant", "thief"), ("X-Own", "1")]);
        assert_eq!((booked.status, booked.is_complete), (200, true));
        assert!(booked.text().ends_with("ran /bookings/x"));
        let run = deployment
            .shops
            .iter()
            .flat_map(Worker::executed_requests)
            .find(|run| run.request == id)
            .unwrap();
        assert_eq!(run.body, b"the body");
        assert_eq!(
            (run.headers["tenant"].as_str(), run.headers["x-own"].as_str()),
            ("family", "1")
        );
        assert!(!run.headers.contains_key("authorization"));
        let remaining_millis: u64 = run.headers["deadline-remaining"].parse().unwrap();
        assert!((4000..=5000).contains(&remaining_millis));
    }
    let prompt = deployment.engines.iter().flat_map(Worker::executed_requests).next().unwrap();
    assert_eq!(prompt.headers["prompt-prefix"], "aa:100,bb:200,cc:10");
    assert_eq!(prompt.path, "/captions/a?b=c");
    let engines_in_use =
        deployment.engines.iter().filter(|engine| !engine.executed_requests().is_empty()).count();
    assert_eq!(
        engines_in_use, 1,
        "both instances must send requests with a shared context to one engine"
    );
}

#[test]
fn invalid_requests_are_refused_and_reach_no_upstream() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    let key = format!("Token {KEY}");
    let status = |path: &str, headers: &[(&str, &str)]| {
        send_request(address, "GET", path, headers, "").unwrap().status
    };
    assert_eq!(status("/albums/1", &[("Authorization", "Token wrong")]), 401);
    assert_eq!(status("/albums/1", &[]), 401);
    assert_eq!(status("/nothing/1", &[("Authorization", &key)]), 404);
    assert_eq!(status("/albums/1", &[("Authorization", &key), ("Host", "other")]), 404);
    let damaged = [("Authorization", key.as_str()), ("Deadline-Remaining", "soon")];
    assert_eq!(status("/albums/1", &damaged), 400);
    let large = "x".repeat(70_000);
    let headers = [("Authorization", key.as_str())];
    let answer = send_request(address, "POST", "/albums/1", &headers, &large);
    assert!(answer.is_ok_and(|answer| answer.status == 413));
    assert!(deployment.shops.iter().all(|shop| shop.executed_requests().is_empty()));
    let control = deployment.machines.controls[0].control();
    let put =
        |path: &str, body: &str| send_request(control, "PUT", path, &[], body).unwrap().status;
    assert_eq!(put("/v1/workers/i-shop-1", "\u{1}"), 400);
    assert_eq!(put("/v1/workers/i-shop-1", "{\"service\":5}"), 400);
    assert_eq!(put("/v1/elsewhere", "{}"), 404);
    let mut invalid = document(9);
    invalid["routes"][0]["timeout-ms"] = 0.into();
    assert_eq!(put_document(control, &invalid.to_string()).unwrap().status, 400);
    assert_eq!(call(address, "/albums/1", "still").status, 200);
}

#[test]
fn the_highest_document_number_is_in_force_everywhere_and_never_reverts() {
    let deployment = start_deployment();
    let mut changed = document(12);
    changed["routes"][3]["path-prefix"] = "/moved/".into();
    let controls = &deployment.machines.controls;
    assert_eq!(put_document(controls[1].control(), &changed.to_string()).unwrap().status, 200);
    let acknowledged = Instant::now();
    for instance in &deployment.machines.entries {
        wait_for("activation of the new route", || {
            (call(instance.callers(), "/moved/1", "m").status == 200).then_some(())
        });
        assert_eq!(call(instance.callers(), "/albums/1", "o").status, 404);
    }
    assert!(acknowledged.elapsed() < Duration::from_secs(2), "{:?}", acknowledged.elapsed());
    // A document with an older number, a repeated one, and one that reuses the number with other
    // content are acknowledged and change nothing.
    for text in [document(7), document(12), changed] {
        assert_eq!(put_document(controls[2].control(), &text.to_string()).unwrap().status, 200);
    }
    for control in controls {
        wait_for("arrival of the newest document", || {
            newest_number(control.control()).filter(|number| *number == 12)
        });
    }
    assert_eq!(call(deployment.machines.entries[0].callers(), "/albums/1", "p").status, 404);
}

#[test]
fn a_broken_stream_resumes_at_another_upstream_only_on_resumable_routes() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    for engine in &deployment.engines {
        engine.set_behaviour(Behaviour::BreakAfter(4));
    }
    // Both engines break off each run, so that the second run is the last permitted attempt.
    let id = "twice-broken";
    let cut = call(address, "/captions/1", id);
    assert!(!cut.is_complete && cut.text() == (1..=8).map(|n| event(id, n)).collect::<String>());
    assert_eq!(runs(&deployment.engines, id), 2);
    let cut = call(address, "/reports/1", "report");
    assert!(!cut.is_complete && runs(&deployment.engines, "report") == 1);
    let serving = deployment
        .engines
        .iter()
        .position(|engine| !engine.executed_requests().is_empty())
        .unwrap();
    deployment.engines[1 - serving].set_behaviour(Behaviour::Answer);
    let id = "resumed";
    let resumed = wait_for("resumption of a stream", || {
        let answer = call(address, "/captions/1", id);
        (runs(&deployment.engines, id) == 2).then_some(answer)
    });
    assert!(resumed.is_complete);
    assert_eq!(resumed.text(), complete_stream(id));
}

#[test]
fn a_stream_without_complete_events_resumes_elsewhere_and_a_slow_stream_is_kept() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    let first = call(address, "/captions/1", "first");
    assert!(first.is_complete);
    let serving = deployment
        .engines
        .iter()
        .position(|engine| !engine.executed_requests().is_empty())
        .unwrap();
    deployment.engines[serving].set_behaviour(Behaviour::Stall(3));
    let started = Instant::now();
    let resumed = call(address, "/captions/1", "dripped");
    assert!(resumed.is_complete, "{}", resumed.text());
    assert_eq!(resumed.text(), complete_stream("dripped"));
    assert_eq!(runs(&deployment.engines, "dripped"), 2);
    // Callers time out when no event arrives for two seconds.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    for engine in &deployment.engines {
        engine.set_behaviour(Behaviour::SlowEvents);
    }
    let slow = call_with(address, "/captions/1", "slow", &[("Deadline-Remaining", "12000")]);
    assert!(slow.is_complete && slow.text() == complete_stream("slow"));
    assert_eq!(runs(&deployment.engines, "slow"), 1, "a slow stream was retried");
}

#[test]
fn a_booking_that_may_have_run_is_never_retried() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    for shop in &deployment.shops {
        shop.set_behaviour(Behaviour::LoseAnswer);
    }
    let lost = call(address, "/bookings/1", "lost");
    assert_eq!((lost.status, runs(&deployment.shops, "lost")), (502, 1));
    assert!(!lost.headers.contains_key("server-stamp"));
    for shop in &deployment.shops {
        shop.set_behaviour(Behaviour::Fail);
    }
    let failed = call(address, "/bookings/1", "failed");
    assert_eq!((failed.status, failed.text().as_str()), (500, "oops"));
    assert_eq!(runs(&deployment.shops, "failed"), 1);
    for shop in &deployment.shops {
        shop.set_behaviour(Behaviour::Refuse);
    }
    let refused = call(address, "/bookings/1", "refused");
    assert_eq!((refused.status, runs(&deployment.shops, "refused")), (503, 0));
    let retry_after: f64 = refused.headers["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 5.0 / 3.0, "Retry-After is {retry_after} s");
}

#[test]
fn an_idempotent_request_is_retried_at_another_upstream() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    for behaviour in [Behaviour::Fail, Behaviour::LoseAnswer, Behaviour::Refuse, Behaviour::Silent]
    {
        deployment.shops[0].set_behaviour(behaviour);
        for number in 0..6 {
            let answer = call(address, "/albums/1", &format!("{behaviour:?}-{number}"));
            assert_eq!(answer.status, 200, "{behaviour:?}, request {number}");
        }
        deployment.shops[0].set_behaviour(Behaviour::Answer);
    }
    deployment.shops[0].set_behaviour(Behaviour::Misdirect);
    for number in 0..4 {
        assert_eq!(call(address, "/bookings/1", &format!("other-{number}")).status, 200);
    }
}

#[test]
fn a_draining_upstream_gets_no_new_requests_and_completes_running_ones() {
    let deployment = start_deployment();
    let address = deployment.machines.entries[1].callers();
    let running = std::thread::spawn(move || call(address, "/reports/1", "long"));
    let draining = wait_for("start of a stream", || {
        deployment.engines.iter().position(|engine| !engine.executed_requests().is_empty())
    });
    assert!(deployment.engines[draining].drain());
    let drained = Instant::now();
    assert!(running.join().unwrap().is_complete);
    std::thread::sleep(MAX_DRAIN_DELAY.saturating_sub(drained.elapsed()));
    let before = deployment.engines[draining].executed_requests().len();
    for instance in &deployment.machines.entries {
        for number in 0..5 {
            let answer = call(instance.callers(), "/captions/1", &format!("d{number}"));
            assert_eq!((answer.status, answer.is_complete), (200, true));
        }
    }
    assert_eq!(deployment.engines[draining].executed_requests().len(), before);
}

#[test]
fn a_caller_that_disconnects_cancels_its_request() {
    let deployment = start_deployment();
    for shop in &deployment.shops {
        shop.set_behaviour(Behaviour::Silent);
    }
    let address = deployment.machines.entries[0].callers();
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST /bookings/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: gone\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    wait_for("start of the booking", || (runs(&deployment.shops, "gone") == 1).then_some(()));
    drop(stream);
    let entry = &deployment.machines.entries[0];
    let event = wait_for("a disconnect event", || entry.events("left").pop());
    assert_eq!(
        (event["request"].as_str(), event["was_sent"].as_bool()),
        (Some("gone"), Some(true))
    );
}

/// Sends a request on an open connection and reads the answer.
fn call_on(stream: &mut TcpStream, id: &str) -> std::io::Result<HttpResponse> {
    let head = format!(
        "GET /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    read_response(&mut BufReader::new(stream))
}

/// Guards against a stream that is accepted late in a graceful shutdown and cut at the end of the
/// shutdown. This fault was seen on the users' test bench.
#[test]
fn a_stopping_instance_accepts_only_requests_that_can_end_in_time() {
    let mut deployment = start_deployment();
    let address = deployment.machines.entries[0].callers();
    deployment.machines.entries[0].process().signal("TERM");
    let signalled = Instant::now();
    let call = |path: &str, id: &str, deadline_millis: &str| {
        let headers = [("Deadline-Remaining", deadline_millis)];
        call_with(address, path, id, &headers)
    };
    assert_eq!(call("/reports/1", "early", "5500").status, 200);
    std::thread::sleep(Duration::from_millis(3200).saturating_sub(signalled.elapsed()));
    let late = call("/reports/1", "late", "5500");
    assert_eq!((late.status, late.headers["connection"].as_str()), (503, "close"));
    let retry_after: f64 = late.headers["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 1.0, "Retry-After is {retry_after} s");
    assert_eq!(runs(&deployment.engines, "late"), 0);
    assert_eq!(call("/albums/1", "short", "1500").status, 200);
    let refused =
        wait_for("a refusal event", || deployment.machines.entries[0].events("refused").pop());
    assert_eq!((&refused["request"], &refused["reason"]), (&"late".into(), &"stopping".into()));
    assert_eq!(deployment.machines.entries[0].process().wait(), Some(0));
}

/// Guards against requests that a stopping instance has taken and whose callers get no answer.
#[test]
fn requests_that_still_run_at_the_end_of_a_graceful_shutdown_are_answered() {
    let mut deployment = start_deployment();
    let upstreams = deployment.shops.iter().chain(&deployment.engines);
    upstreams.for_each(|upstream| upstream.set_behaviour(Behaviour::Silent));
    let address = deployment.machines.entries[0].callers();
    deployment.machines.entries[0].process().signal("TERM");
    std::thread::sleep(Duration::from_millis(2500));
    let paths = ["/bookings/1", "/reports/1", "/captions/1"];
    let calls = paths.map(|path| {
        let id = path.replace('/', "-");
        let headers = [("Deadline-Remaining", "6000")];
        std::thread::spawn(move || call_with(address, path, &id, &headers))
    });
    for (path, call) in paths.into_iter().zip(calls) {
        let answer = call.join().unwrap();
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}");
    }
    assert_eq!(deployment.machines.entries[0].process().wait(), Some(0));
}

#[test]
fn a_graceful_shutdown_cuts_no_request_and_closes_connections() {
    let mut deployment = start_deployment();
    for shop in &deployment.shops {
        shop.set_behaviour(Behaviour::Slow);
    }
    let address = deployment.machines.entries[0].callers();
    let mut persistent = TcpStream::connect(address).unwrap();
    assert_eq!(call_on(&mut persistent, "before").unwrap().status, 200);
    let running = std::thread::spawn(move || call(address, "/bookings/1", "running"));
    wait_for("start of the booking", || (runs(&deployment.shops, "running") == 1).then_some(()));
    deployment.machines.entries[0].process().signal("TERM");
    let signalled = Instant::now();
    wait_for("loss of readiness in the shutdown", || {
        (!deployment.machines.entries[0].is_ready()).then_some(())
    });
    assert!(signalled.elapsed() < Duration::from_secs(1));
    let last = call_on(&mut persistent, "after").unwrap();
    assert_eq!((last.status, last.headers["connection"].as_str()), (200, "close"));
    assert_eq!(running.join().unwrap().status, 200);
    assert_eq!(call(address, "/albums/1", "new").status, 200);
    assert_eq!(deployment.machines.entries[0].process().wait(), Some(0));
    assert!(signalled.elapsed() < Duration::from_secs(8), "{:?}", signalled.elapsed());
    assert_eq!(deployment.machines.entries[0].events("stopped").len(), 1);
}
