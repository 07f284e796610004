//! The whole path on the users' platform with real processes: documents, announcements, requests
//! of each kind, upstreams that fail, and planned stops.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::machines::{KEY, Machines, document, newest_number, put_document};
use support::wait_for;
use support::worker::{Behaviour, Exchange, Worker, event, exchange, read_answer, whole_stream};

/// A time within which a draining upstream may still get work.
const DRAIN_SPAN: Duration = Duration::from_secs(2);

fn call(address: SocketAddr, path: &str, id: &str) -> Exchange {
    call_with(address, path, id, &[])
}

fn call_with(address: SocketAddr, path: &str, id: &str, more: &[(&str, &str)]) -> Exchange {
    let key = format!("Token {KEY}");
    let mut headers = vec![
        ("Request-Id", id),
        ("Authorization", key.as_str()),
        ("Prompt-Prefix", "aa:100,bb:200,cc:10"),
        ("Token-Counts", "310,40"),
    ];
    headers.extend_from_slice(more);
    if !more.iter().any(|(name, _)| *name == "Deadline-Remaining") {
        headers.push(("Deadline-Remaining", "5000"));
    }
    exchange(address, "POST", path, &headers, "the body").unwrap()
}

struct Stage {
    machines: Machines,
    engines: Vec<Worker>,
    shops: Vec<Worker>,
}

/// Three control and two entry instances with two upstreams of each service.
fn stage() -> Stage {
    let machines = Machines::start(3, 2);
    let controls = machines.seeds();
    let start = |name: &str, service: &str| Worker::start(name, service, controls.clone());
    let engines = vec![start("i-engine-1", "engines"), start("i-engine-2", "engines")];
    let shops = vec![start("i-shop-1", "shop"), start("i-shop-2", "shop")];
    machines.declare(&document(7));
    machines.await_ready(7);
    for machine in &machines.entries {
        wait_for("four upstreams at an instance", || {
            (machine.events("upstream").len() >= 4).then_some(())
        });
    }
    Stage { machines, engines, shops }
}

fn runs(workers: &[Worker], id: &str) -> usize {
    workers.iter().flat_map(Worker::runs).filter(|run| run.request == id).count()
}

#[test]
fn requests_of_each_kind_reach_their_upstreams_unchanged() {
    let stage = stage();
    for (number, machine) in stage.machines.entries.iter().enumerate() {
        let address = machine.callers();
        let id = format!("s{number}");
        let streamed = call(address, "/captions/a?b=c", &id);
        assert_eq!((streamed.status, streamed.is_whole), (200, true));
        assert_eq!(streamed.text(), whole_stream(&id));
        assert!(streamed.headers["server-stamp"].starts_with("i-engine"));
        let id = format!("b{number}");
        let booked = call_with(address, "/bookings/x", &id, &[("Tenant", "thief"), ("X-Own", "1")]);
        assert_eq!((booked.status, booked.is_whole), (200, true));
        assert!(booked.text().ends_with("ran /bookings/x"));
        let run = stage.shops.iter().flat_map(Worker::runs).find(|run| run.request == id).unwrap();
        assert_eq!(run.body, b"the body");
        assert_eq!(
            (run.headers["tenant"].as_str(), run.headers["x-own"].as_str()),
            ("family", "1")
        );
        assert!(!run.headers.contains_key("authorization"));
        let left: u64 = run.headers["deadline-remaining"].parse().unwrap();
        assert!((4000..=5000).contains(&left));
    }
    let prompt = stage.engines.iter().flat_map(Worker::runs).next().unwrap();
    assert_eq!(prompt.headers["prompt-prefix"], "aa:100,bb:200,cc:10");
    assert_eq!(prompt.path, "/captions/a?b=c");
    let used = stage.engines.iter().filter(|engine| !engine.runs().is_empty()).count();
    assert_eq!(used, 1, "both instances keep a shared context at one engine");
}

#[test]
fn what_is_not_allowed_is_refused_and_reaches_nobody() {
    let stage = stage();
    let address = stage.machines.entries[0].callers();
    let key = format!("Token {KEY}");
    let refused = |path: &str, headers: &[(&str, &str)]| {
        exchange(address, "GET", path, headers, "").unwrap().status
    };
    assert_eq!(refused("/albums/1", &[("Authorization", "Token wrong")]), 401);
    assert_eq!(refused("/albums/1", &[]), 401);
    assert_eq!(refused("/nothing/1", &[("Authorization", &key)]), 404);
    assert_eq!(refused("/albums/1", &[("Authorization", &key), ("Host", "other")]), 404);
    let damaged = [("Authorization", key.as_str()), ("Deadline-Remaining", "soon")];
    assert_eq!(refused("/albums/1", &damaged), 400);
    let large = "x".repeat(70_000);
    let headers = [("Authorization", key.as_str())];
    let answer = exchange(address, "POST", "/albums/1", &headers, &large);
    assert!(answer.is_ok_and(|answer| answer.status == 413));
    assert!(stage.shops.iter().all(|shop| shop.runs().is_empty()));
    let control = stage.machines.controls[0].control();
    let put = |path: &str, body: &str| exchange(control, "PUT", path, &[], body).unwrap().status;
    assert_eq!(put("/v1/workers/i-shop-1", "\u{1}"), 400);
    assert_eq!(put("/v1/workers/i-shop-1", "{\"service\":5}"), 400);
    assert_eq!(put("/v1/elsewhere", "{}"), 404);
    let mut invalid = document(9);
    invalid["routes"][0]["timeout-ms"] = 0.into();
    assert_eq!(put_document(control, &invalid.to_string()).unwrap().status, 400);
    assert_eq!(call(address, "/albums/1", "still").status, 200);
}

#[test]
fn the_highest_number_is_in_force_everywhere_and_never_reverts() {
    let stage = stage();
    let mut changed = document(12);
    changed["routes"][3]["path-prefix"] = "/moved/".into();
    let controls = &stage.machines.controls;
    assert_eq!(put_document(controls[1].control(), &changed.to_string()).unwrap().status, 200);
    let acknowledged = Instant::now();
    for machine in &stage.machines.entries {
        wait_for("the new route", || {
            (call(machine.callers(), "/moved/1", "m").status == 200).then_some(())
        });
        assert_eq!(call(machine.callers(), "/albums/1", "o").status, 404);
    }
    assert!(acknowledged.elapsed() < Duration::from_secs(2), "{:?}", acknowledged.elapsed());
    // Older, repeated and equal numbers with other content are acknowledged and change nothing.
    for text in [document(7), document(12), changed] {
        assert_eq!(put_document(controls[2].control(), &text.to_string()).unwrap().status, 200);
    }
    for control in controls {
        wait_for("the newest number", || {
            newest_number(control.control()).filter(|number| *number == 12)
        });
    }
    assert_eq!(call(stage.machines.entries[0].callers(), "/albums/1", "p").status, 404);
}

#[test]
fn a_stream_that_breaks_goes_on_elsewhere_and_others_are_cut() {
    let stage = stage();
    let address = stage.machines.entries[0].callers();
    for engine in &stage.engines {
        engine.behave(Behaviour::BreakAfter(4));
    }
    // Both engines break off each of their runs, so the second one is the last that is allowed.
    let id = "twice-broken";
    let cut = call(address, "/captions/1", id);
    assert!(!cut.is_whole && cut.text() == (1..=8).map(|n| event(id, n)).collect::<String>());
    assert_eq!(runs(&stage.engines, id), 2);
    let cut = call(address, "/reports/1", "report");
    assert!(!cut.is_whole && runs(&stage.engines, "report") == 1);
    let used = stage.engines.iter().position(|engine| !engine.runs().is_empty()).unwrap();
    stage.engines[1 - used].behave(Behaviour::Answer);
    let id = "resumed";
    let whole = wait_for("a stream that was resumed", || {
        let answer = call(address, "/captions/1", id);
        (runs(&stage.engines, id) == 2).then_some(answer)
    });
    assert!(whole.is_whole);
    assert_eq!(whole.text(), whole_stream(id));
}

#[test]
fn a_stream_of_bytes_that_make_no_event_goes_on_elsewhere_and_a_slow_one_is_kept() {
    let stage = stage();
    let address = stage.machines.entries[0].callers();
    let key = call(address, "/captions/1", "first");
    assert!(key.is_whole);
    let used = stage.engines.iter().position(|engine| !engine.runs().is_empty()).unwrap();
    stage.engines[used].behave(Behaviour::Drip(3));
    let begun = Instant::now();
    let whole = call(address, "/captions/1", "dripped");
    assert!(whole.is_whole, "{}", whole.text());
    assert_eq!(whole.text(), whole_stream("dripped"));
    assert_eq!(runs(&stage.engines, "dripped"), 2);
    // Callers wait for two seconds for the next event.
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    for engine in &stage.engines {
        engine.behave(Behaviour::Unhurried);
    }
    let slow = call_with(address, "/captions/1", "slow", &[("Deadline-Remaining", "12000")]);
    assert!(slow.is_whole && slow.text() == whole_stream("slow"));
    assert_eq!(runs(&stage.engines, "slow"), 1, "a slow stream was sent again");
}

#[test]
fn a_booking_that_may_have_run_is_never_sent_again() {
    let stage = stage();
    let address = stage.machines.entries[0].callers();
    for shop in &stage.shops {
        shop.behave(Behaviour::LoseAnswer);
    }
    let lost = call(address, "/bookings/1", "lost");
    assert_eq!((lost.status, runs(&stage.shops, "lost")), (502, 1));
    assert!(!lost.headers.contains_key("server-stamp"));
    for shop in &stage.shops {
        shop.behave(Behaviour::Fail);
    }
    let failed = call(address, "/bookings/1", "failed");
    assert_eq!((failed.status, failed.text().as_str()), (500, "oops"));
    assert_eq!(runs(&stage.shops, "failed"), 1);
    for shop in &stage.shops {
        shop.behave(Behaviour::Refuse);
    }
    let refused = call(address, "/bookings/1", "refused");
    assert_eq!((refused.status, runs(&stage.shops, "refused")), (503, 0));
    let wait: f64 = refused.headers["retry-after"].parse().unwrap();
    assert!(wait > 0.0 && wait <= 5.0 / 3.0, "come back after {wait} s");
}

#[test]
fn an_idempotent_request_is_sent_to_another_upstream() {
    let stage = stage();
    let address = stage.machines.entries[0].callers();
    for bad in [Behaviour::Fail, Behaviour::LoseAnswer, Behaviour::Refuse, Behaviour::Silent] {
        stage.shops[0].behave(bad);
        for number in 0..6 {
            let answer = call(address, "/albums/1", &format!("{bad:?}-{number}"));
            assert_eq!(answer.status, 200, "{bad:?}, request {number}");
        }
        stage.shops[0].behave(Behaviour::Answer);
    }
    stage.shops[0].behave(Behaviour::Misdirect);
    for number in 0..4 {
        assert_eq!(call(address, "/bookings/1", &format!("other-{number}")).status, 200);
    }
}

#[test]
fn a_draining_upstream_gets_no_new_work_and_ends_what_it_has() {
    let stage = stage();
    let address = stage.machines.entries[1].callers();
    let running = std::thread::spawn(move || call(address, "/reports/1", "long"));
    let first = wait_for("a stream on its way", || {
        stage.engines.iter().position(|engine| !engine.runs().is_empty())
    });
    assert!(stage.engines[first].drain());
    let drained = Instant::now();
    assert!(running.join().unwrap().is_whole);
    std::thread::sleep(DRAIN_SPAN.saturating_sub(drained.elapsed()));
    let before = stage.engines[first].runs().len();
    for machine in &stage.machines.entries {
        for number in 0..5 {
            let answer = call(machine.callers(), "/captions/1", &format!("d{number}"));
            assert_eq!((answer.status, answer.is_whole), (200, true));
        }
    }
    assert_eq!(stage.engines[first].runs().len(), before);
}

#[test]
fn a_caller_that_leaves_ends_the_work_for_it() {
    let stage = stage();
    for shop in &stage.shops {
        shop.behave(Behaviour::Silent);
    }
    let address = stage.machines.entries[0].callers();
    let mut stream = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST /bookings/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: gone\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    wait_for("the booking at an upstream", || (runs(&stage.shops, "gone") == 1).then_some(()));
    drop(stream);
    let entry = &stage.machines.entries[0];
    let left = wait_for("the word that the caller left", || entry.events("left").pop());
    assert_eq!((left["request"].as_str(), left["was_sent"].as_bool()), (Some("gone"), Some(true)));
}

/// Sends a request on an open connection and reads its answer.
fn call_on(stream: &mut TcpStream, id: &str) -> std::io::Result<Exchange> {
    let head = format!(
        "GET /albums/1 HTTP/1.1\r\nHost: api.example\r\nRequest-Id: {id}\r\n\
         Authorization: Token {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

/// Found by a hunt on the users' bench: a stream that came late was cut at the end of the stop.
#[test]
fn a_stopping_instance_takes_late_only_what_is_over_in_time() {
    let mut stage = stage();
    let address = stage.machines.entries[0].callers();
    stage.machines.entries[0].process().signal("TERM");
    let asked = Instant::now();
    let call = |path: &str, id: &str, left: &str| {
        let headers = [("Deadline-Remaining", left)];
        call_with(address, path, id, &headers)
    };
    assert_eq!(call("/reports/1", "early", "5500").status, 200);
    std::thread::sleep(Duration::from_millis(3200).saturating_sub(asked.elapsed()));
    let late = call("/reports/1", "late", "5500");
    assert_eq!((late.status, late.headers["connection"].as_str()), (503, "close"));
    let wait: f64 = late.headers["retry-after"].parse().unwrap();
    assert!(wait > 0.0 && wait <= 1.0, "come back after {wait} s");
    assert_eq!(runs(&stage.engines, "late"), 0);
    assert_eq!(call("/albums/1", "short", "1500").status, 200);
    let refused =
        wait_for("the word of the refusal", || stage.machines.entries[0].events("refused").pop());
    assert_eq!((&refused["request"], &refused["reason"]), (&"late".into(), &"stopping".into()));
    assert_eq!(stage.machines.entries[0].process().wait(), Some(0));
}

#[test]
fn a_planned_stop_cuts_no_request_and_moves_callers_elsewhere() {
    let mut stage = stage();
    for shop in &stage.shops {
        shop.behave(Behaviour::Slow);
    }
    let address = stage.machines.entries[0].callers();
    let mut kept = TcpStream::connect(address).unwrap();
    assert_eq!(call_on(&mut kept, "before").unwrap().status, 200);
    let running = std::thread::spawn(move || call(address, "/bookings/1", "running"));
    wait_for("the booking at an upstream", || (runs(&stage.shops, "running") == 1).then_some(()));
    stage.machines.entries[0].process().signal("TERM");
    let asked = Instant::now();
    wait_for("the word that it is not ready", || {
        (!stage.machines.entries[0].is_ready()).then_some(())
    });
    assert!(asked.elapsed() < Duration::from_secs(1));
    let last = call_on(&mut kept, "after").unwrap();
    assert_eq!((last.status, last.headers["connection"].as_str()), (200, "close"));
    assert_eq!(running.join().unwrap().status, 200);
    assert_eq!(call(address, "/albums/1", "new").status, 200);
    assert_eq!(stage.machines.entries[0].process().wait(), Some(0));
    assert!(asked.elapsed() < Duration::from_secs(8), "{:?}", asked.elapsed());
    assert_eq!(stage.machines.entries[0].events("stopped").len(), 1);
}
