//! Tests of what upstreams ask for in the headers of their answers: no new requests, since they
//! leave or for a time.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use support::machines::{Machine, Machines, document};
use support::platform_calls::{call, call_within};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker, complete_stream, event, send_request};

/// Header by which an upstream says that it leaves.
const LEAVING: [(&str, &str); 1] = [("server-leaving", "1")];

/// Time in which every upstream announces itself as ready a few times.
const SOME_ANNOUNCEMENTS: Duration = Duration::from_millis(1500);

/// Longest time from a request to its refusal if the instance refuses it at once.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(700);

struct Deployment {
    machines: Machines,
    upstreams: Vec<Worker>,
}

/// Starts one control and `entries` entry instances, and an upstream of `service` for each name.
fn start_deployment(entries: u8, service: &str, names: &[&str], document: &Value) -> Deployment {
    let machines = Machines::start(1, entries);
    let start = |name: &&str| Worker::start(name, service, machines.seeds());
    let upstreams: Vec<Worker> = names.iter().map(start).collect();
    machines.put_document_until_acknowledged(document);
    machines.wait_ready(7);
    for entry in &machines.entries {
        wait_for("upstream discovery", || {
            (entry.events("upstream").len() >= names.len()).then_some(())
        });
    }
    Deployment { machines, upstreams }
}

/// Starts a fleet in which instances ask load trackers before they send a request to an engine.
fn start_large_deployment(engines: &[&str]) -> Deployment {
    let deployment = start_deployment(16, "engines", engines, &document(7));
    for entry in &deployment.machines.entries {
        wait_for("membership of all instances", || {
            let metrics = send_request(entry.metrics(), "GET", "/metrics", &[], "").ok()?;
            metrics.text().contains("turmericrelay_members 17\n").then_some(())
        });
    }
    deployment
}

impl Deployment {
    fn entry(&self) -> &Machine {
        &self.machines.entries[0]
    }

    fn callers(&self) -> SocketAddr {
        self.entry().callers()
    }

    /// Returns the number of requests that arrived at the upstream `index`.
    fn arrived(&self, index: usize) -> usize {
        self.upstreams[index].arrivals().len()
    }

    /// Sends requests until the upstream `index` has got one.
    fn call_until_arrival_at(&self, index: usize, path: &str) {
        let before = self.arrived(index);
        wait_for("a request at the upstream", || {
            call(self.callers(), path, "probe");
            (self.arrived(index) > before).then_some(())
        });
    }

    /// Waits until the instance knows `count` runs of upstreams.
    fn wait_runs(&self, count: usize) {
        wait_for("a new run of an upstream", || {
            let mut born: Vec<u64> = self
                .entry()
                .events("upstream")
                .iter()
                .filter_map(|line| line["born"].as_u64())
                .collect();
            born.sort_unstable();
            born.dedup();
            (born.len() >= count).then_some(())
        });
    }
}

/// Guards against new requests at an upstream that said in an answer that it leaves. The upstream
/// goes on announcing itself as ready.
#[test]
fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_new_request() {
    let deployment = start_deployment(1, "shop", &["i-shop-1", "i-shop-2"], &document(7));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    deployment.call_until_arrival_at(0, "/albums/1");
    let arrived = deployment.arrived(0);
    for number in 0..20 {
        let answer = call(deployment.callers(), "/albums/1", &format!("early-{number}"));
        assert_eq!(answer.status, 200);
    }
    std::thread::sleep(SOME_ANNOUNCEMENTS);
    deployment.upstreams[1].set_behaviour(Behaviour::Fail);
    for number in 0..10 {
        let answer = call(deployment.callers(), "/albums/1", &format!("late-{number}"));
        assert_eq!(answer.status, 500, "a failed request was repeated at the leaving upstream");
    }
    assert_eq!(deployment.arrived(0), arrived, "new requests reached the leaving upstream");
    let avoided = deployment.entry().events("avoided");
    assert!(avoided.iter().any(|line| line["reason"] == "leaving"), "{avoided:?}");
}

/// Guards against new requests at leaving upstreams because no other upstream is left.
#[test]
fn a_leaving_upstream_gets_no_new_request_when_it_is_the_last_one_until_a_new_run_of_it() {
    let mut deployment = start_deployment(1, "shop", &["i-shop-1"], &document(7));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    assert_eq!(call(deployment.callers(), "/albums/1", "first").status, 200);
    for number in 0..5 {
        let answer = call(deployment.callers(), "/albums/1", &format!("refused-{number}"));
        assert_eq!((answer.status, deployment.arrived(0)), (503, 1));
    }
    std::thread::sleep(SOME_ANNOUNCEMENTS);
    assert!(!deployment.entry().is_ready(), "the instance is ready without an upstream");
    assert_eq!(call(deployment.callers(), "/albums/1", "later").status, 503);
    assert_eq!(deployment.arrived(0), 1, "the last upstream got a new request while it left");
    deployment.upstreams.pop();
    let seeds = deployment.machines.seeds();
    deployment.upstreams.push(Worker::start("i-shop-1", "shop", seeds));
    deployment.wait_runs(2);
    wait_for("an answer of the new run", || {
        (call(deployment.callers(), "/albums/1", "again").status == 200).then_some(())
    });
}

/// Guards against a leave that is ignored because the answer that says so is a refusal, and so is
/// not forwarded to the caller.
#[test]
fn a_refusal_that_says_that_the_upstream_leaves_counts_and_other_values_do_not() {
    let deployment = start_deployment(1, "shop", &["i-shop-1", "i-shop-2"], &document(7));
    deployment.upstreams[0].set_extra_headers(&[("server-leaving", "0")]);
    deployment.call_until_arrival_at(0, "/bookings/1");
    deployment.call_until_arrival_at(0, "/bookings/1");
    deployment.upstreams[0].set_behaviour(Behaviour::Refuse);
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    deployment.call_until_arrival_at(0, "/bookings/1");
    let arrived = deployment.arrived(0);
    for number in 0..20 {
        let answer = call(deployment.callers(), "/bookings/1", &format!("b{number}"));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(deployment.arrived(0), arrived, "new requests reached the leaving upstream");
}

/// Guards against a stream of a leaving upstream that is cut, or resumed at the same upstream.
#[test]
fn a_stream_of_a_leaving_upstream_ends_and_is_not_resumed_there() {
    let deployment = start_deployment(1, "engines", &["i-engine-1"], &document(7));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    let whole = call(deployment.callers(), "/captions/1", "whole");
    assert_eq!((whole.is_complete, whole.text()), (true, complete_stream("whole")));
    assert_eq!(call(deployment.callers(), "/captions/1", "refused").status, 503);
    assert_eq!(deployment.arrived(0), 1);
    let deployment = start_deployment(1, "engines", &["i-engine-1"], &document(7));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    deployment.upstreams[0].set_behaviour(Behaviour::BreakAfter(4));
    let cut = call(deployment.callers(), "/captions/1", "broken");
    let received: String = (1..=4).map(|number| event("broken", number)).collect();
    assert_eq!((cut.is_complete, cut.text()), (false, received));
    assert_eq!(deployment.arrived(0), 1, "the stream was resumed at the leaving upstream");
}

/// Guards against a running request that is given up in favour of another upstream when there is
/// none, and against a failure of the upstream that is replaced by one of the instance.
#[test]
fn a_request_at_the_last_upstream_that_leaves_gets_the_answer_of_the_upstream() {
    let mut document = document(7);
    document["routes"][3]["objective-ms"] = 300.into();
    let deployment = start_deployment(1, "shop", &["i-shop-1"], &document);
    let callers = deployment.callers();
    deployment.upstreams[0].set_behaviour(Behaviour::Slow);
    let slow = std::thread::spawn(move || call(callers, "/albums/1", "slow"));
    wait_for("start of the slow request", || (deployment.arrived(0) == 1).then_some(()));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    deployment.upstreams[0].set_behaviour(Behaviour::Fail);
    let failed = call(callers, "/albums/1", "failed");
    assert_eq!((failed.status, failed.text()), (500, "oops".to_string()));
    assert_eq!(slow.join().unwrap().status, 200, "the running request was given up");
    assert_eq!(deployment.arrived(0), 2);
}

/// Guards against a stream that is cut because its engine sends nothing for a time, although no
/// other engine can resume it.
#[test]
fn a_stream_that_stops_for_a_time_at_the_last_engine_that_leaves_is_not_cut() {
    let deployment = start_deployment(1, "engines", &["i-engine-1"], &document(7));
    deployment.upstreams[0].set_extra_headers(&LEAVING);
    deployment.upstreams[0].set_behaviour(Behaviour::Pause(4));
    let answer = call(deployment.callers(), "/captions/1", "hesitant");
    assert_eq!((answer.is_complete, answer.text()), (true, complete_stream("hesitant")));
    assert_eq!(deployment.arrived(0), 1);
}

/// Guards against new requests at a leaving engine in a large fleet, in which load trackers are
/// asked before a request is sent.
#[test]
fn a_leaving_engine_gets_no_new_request_of_the_instance_in_a_large_fleet() {
    let deployment = start_large_deployment(&["i-engine-1", "i-engine-2"]);
    assert_eq!(call(deployment.callers(), "/captions/1", "first").status, 200);
    let serving = (0..2).find(|index| deployment.arrived(*index) > 0).unwrap();
    deployment.upstreams[serving].set_extra_headers(&LEAVING);
    deployment.call_until_arrival_at(serving, "/captions/1");
    let arrived = deployment.arrived(serving);
    for number in 0..10 {
        let id = format!("s{number}");
        let answer = call(deployment.callers(), "/captions/1", &id);
        assert_eq!((answer.status, answer.text()), (200, complete_stream(&id)));
    }
    assert_eq!(deployment.arrived(serving), arrived, "new requests reached the leaving engine");
}

/// Returns a document that lets bookings wait for an upstream for an eighth of `objective_millis`.
fn document_with_objective(objective_millis: u64) -> Value {
    let mut document = document(7);
    document["routes"][2]["objective-ms"] = objective_millis.into();
    document
}

fn refuse_with_retry_after(upstream: &Worker, seconds: &str) {
    upstream.set_extra_headers(&[("retry-after", seconds)]);
    upstream.set_behaviour(Behaviour::Refuse);
}

fn retry_after(answer: &HttpResponse) -> f64 {
    answer.headers["retry-after"].parse().unwrap()
}

/// Guards against requests at an upstream that refused one with `Retry-After`, before that time is
/// over.
#[test]
fn an_upstream_that_asks_to_wait_gets_no_request_until_then() {
    let deployment = start_deployment(1, "shop", &["i-shop-1", "i-shop-2"], &document(7));
    refuse_with_retry_after(&deployment.upstreams[0], "1.5");
    deployment.call_until_arrival_at(0, "/bookings/1");
    let refused_at = deployment.upstreams[0].arrivals()[0];
    let (callers, is_stopped) = (deployment.callers(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let is_stopped = &is_stopped;
            scope.spawn(move || {
                let mut number = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let answer = call(callers, "/bookings/1", &format!("b{thread}-{number}"));
                    assert_eq!(answer.status, 200);
                }
            });
        }
        std::thread::sleep(Duration::from_millis(2500));
        is_stopped.store(true, Ordering::Relaxed);
    });
    let arrivals = deployment.upstreams[0].arrivals();
    let early = arrivals[1..].iter().filter(|at| **at < refused_at + Duration::from_millis(1500));
    assert_eq!(early.count(), 0, "requests reached the upstream while it wanted none");
    assert!(arrivals.len() > 1, "the upstream got no requests when its time was over");
    let avoided = deployment.entry().events("avoided");
    assert!(avoided.iter().any(|line| line["reason"] == "asked-to-wait"), "{avoided:?}");
}

/// Guards against requests that are sent to the only upstream although it wants none, or that wait
/// in vain, and against callers that are not told when to come back.
#[test]
fn callers_are_refused_at_once_and_told_when_the_only_upstream_may_be_asked_again() {
    let document = document_with_objective(11_200);
    let deployment = start_deployment(1, "shop", &["i-shop-1"], &document);
    refuse_with_retry_after(&deployment.upstreams[0], "1.6");
    let callers = deployment.callers();
    let first = call_within(callers, "/bookings/1", "first", "1000");
    let told = retry_after(&first);
    assert_eq!((first.status, deployment.arrived(0)), (503, 1));
    assert!((0.2..0.34).contains(&told), "more than callers heed, or too little: {told}");
    refuse_with_retry_after(&deployment.upstreams[0], "3");
    std::thread::sleep(Duration::from_millis(1700));
    let second = call(callers, "/bookings/1", "second");
    assert_eq!((second.status, deployment.arrived(0)), (503, 2), "the first time was not over");
    deployment.upstreams[0].set_behaviour(Behaviour::Answer);
    let paused_at = deployment.upstreams[0].arrivals()[1];
    std::thread::sleep(Duration::from_millis(1000));
    let started = Instant::now();
    let third = call_within(callers, "/bookings/1", "third", "1200");
    assert_eq!((third.status, deployment.arrived(0)), (503, 2));
    assert!(started.elapsed() < MAX_REFUSAL_TIME, "waited for {:?}", started.elapsed());
    let (told, left) = (retry_after(&third), paused_at + Duration::from_secs(3) - started);
    assert!(told <= 0.4 && told <= left.as_secs_f64() + 0.1, "{told}");
    let refused = deployment.entry().events("refused");
    assert!(refused.iter().any(|line| line["reason"] == "asked_to_wait"), "{refused:?}");
    std::thread::sleep((paused_at + Duration::from_millis(3100)) - Instant::now());
    assert_eq!(call(callers, "/bookings/1", "fourth").status, 200);
}

/// Guards against a refusal of a request that can wait until the upstream takes requests again.
#[test]
fn a_request_waits_for_the_end_of_a_short_pause() {
    let document = document_with_objective(11_200);
    let deployment = start_deployment(1, "shop", &["i-shop-1"], &document);
    refuse_with_retry_after(&deployment.upstreams[0], "0.6");
    let callers = deployment.callers();
    let waiting = std::thread::spawn(move || call(callers, "/bookings/1", "waiting"));
    wait_for("the refusal", || (deployment.arrived(0) > 0).then_some(()));
    deployment.upstreams[0].set_behaviour(Behaviour::Answer);
    assert_eq!(waiting.join().unwrap().status, 200);
    let arrivals = deployment.upstreams[0].arrivals();
    assert_eq!(arrivals.len(), 2);
    assert!(arrivals[1] >= arrivals[0] + Duration::from_millis(600), "sent too early");
}

/// Guards against queued requests that wait for an upstream that takes none in time.
#[test]
fn queued_requests_are_refused_when_the_only_upstream_asks_to_wait() {
    let document = document_with_objective(24_000);
    let deployment = start_deployment(1, "shop", &["i-shop-1"], &document);
    deployment.upstreams[0].set_extra_headers(&[("retry-after", "5")]);
    deployment.upstreams[0].set_behaviour(Behaviour::RefuseLate);
    let callers = deployment.callers();
    std::thread::scope(|scope| {
        // The upstream has eight slots, and gets half as many requests again.
        for number in 0..16 {
            scope.spawn(move || {
                let started = Instant::now();
                let answer = call(callers, "/bookings/1", &format!("b{number}"));
                assert_eq!(answer.status, 503);
                assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
            });
        }
    });
    assert_eq!(deployment.arrived(0), 12);
    assert!(!deployment.entry().events("queued").is_empty(), "no request was queued");
}

/// Guards against requests at an engine that wants none in a large fleet, in which load trackers
/// are asked before a request is sent.
#[test]
fn an_engine_that_asks_to_wait_gets_no_request_of_the_instance_in_a_large_fleet() {
    let deployment = start_large_deployment(&["i-engine-1"]);
    refuse_with_retry_after(&deployment.upstreams[0], "2");
    assert_eq!(call(deployment.callers(), "/captions/1", "refused").status, 503);
    deployment.upstreams[0].set_behaviour(Behaviour::Answer);
    let refused_at = deployment.upstreams[0].arrivals()[0];
    wait_for("the end of the pause", || {
        (call(deployment.callers(), "/captions/1", "again").status == 200).then_some(())
    });
    let arrivals = deployment.upstreams[0].arrivals();
    assert_eq!(arrivals.len(), 2);
    assert!(arrivals[1] >= refused_at + Duration::from_secs(2), "sent too early");
}

/// Guards against a pause that ends early because of a success of the same upstream, and against
/// one that outlasts the run of the upstream.
#[test]
fn a_pause_is_not_lifted_by_a_success_but_by_a_new_run() {
    let mut deployment = start_deployment(1, "shop", &["i-shop-1"], &document(7));
    deployment.upstreams[0].set_behaviour(Behaviour::Slow);
    let callers = deployment.callers();
    let slow = std::thread::spawn(move || call(callers, "/bookings/1", "slow"));
    wait_for("start of the slow request", || (deployment.arrived(0) == 1).then_some(()));
    refuse_with_retry_after(&deployment.upstreams[0], "60");
    assert_eq!(call(callers, "/bookings/1", "refused").status, 503);
    deployment.upstreams[0].set_behaviour(Behaviour::Answer);
    assert_eq!(slow.join().unwrap().status, 200);
    for number in 0..5 {
        let answer = call(callers, "/bookings/1", &format!("b{number}"));
        assert_eq!((answer.status, deployment.arrived(0)), (503, 2));
    }
    assert!(deployment.entry().is_ready(), "a pause takes the instance out of rotation");
    deployment.upstreams.pop();
    let seeds = deployment.machines.seeds();
    deployment.upstreams.push(Worker::start("i-shop-1", "shop", seeds));
    deployment.wait_runs(2);
    wait_for("an answer of the new run", || {
        (call(callers, "/bookings/1", "again").status == 200).then_some(())
    });
}
