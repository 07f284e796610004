//! Reads of a large document by operators over the slow links of a few control instances.
//!
//! The simulation has six instances with links of 3 Mbit/s and a document of 293 KB, which
//! operators read three times a second with a timeout of 1 second. The tests guard against
//! concurrent responses on the same link: no response was complete in time, and heartbeats of the
//! replicated log were queued behind the responses.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use catalogue::{Course, Lane};
use names::{Instance, Request};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(1);
const CONTROL_INSTANCES: usize = 6;
const LINK_MEGABITS: f64 = 3.0;
const DOCUMENT_BYTES: usize = 293_000;

/// Timeout of an operator for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay by the replicated log and the network, which is part of the timeout.
const LOG_TIME: Duration = Duration::from_millis(20);

/// Probability that an operator sends a request in a step, in thousandths.
const REQUESTS_PER_THOUSAND_STEPS: u32 = 3;

/// Maximum transmission time of the data queued on a link. Messages of the replicated log are
/// delayed by this time, and followers expect a heartbeat of the leader every 100 ms.
const MAX_QUEUED_TIME: Duration = Duration::from_millis(100);

fn link_bytes_per_second() -> f64 {
    LINK_MEGABITS * 1e6 / 8.0
}

fn instance(index: usize) -> Instance {
    format!("instance-{index}").parse().unwrap()
}

/// A read request of an operator, which may have been redirected.
#[derive(Clone, Copy)]
struct ReadRequest {
    id: u64,
    started_at: Instant,
    hops: u32,
}

struct Node {
    lane: Lane,
    other_instances: Vec<Instance>,
    /// Requests that wait for the replicated log, each with the time at which the log responds.
    log_queries: Vec<(Instant, ReadRequest)>,
    /// Requests whose responses are in transmission.
    sending: Vec<ReadRequest>,
    /// Time at which the link has transmitted all data sent so far.
    link_free_at: Instant,
}

#[derive(Default)]
struct Totals {
    requests: usize,
    /// Number of requests whose response was complete before the timeout.
    completed: usize,
    /// Longest transmission time of the data queued on a link before new data.
    longest_queue: Duration,
}

struct Simulation {
    now: Instant,
    nodes: Vec<Node>,
    random: Pcg64Mcg,
    totals: Totals,
    /// Whether every request is served immediately, without pacing.
    is_unpaced: bool,
}

impl Simulation {
    fn new(seed: u64, is_unpaced: bool) -> Self {
        let now = Instant::now();
        let create_node = |index: usize| Node {
            lane: Lane::new(LINK_MEGABITS),
            other_instances: (1..CONTROL_INSTANCES)
                .map(|step| instance((index + step) % CONTROL_INSTANCES))
                .collect(),
            log_queries: Vec::new(),
            sending: Vec::new(),
            link_free_at: now,
        };
        let nodes = (0..CONTROL_INSTANCES).map(create_node).collect();
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { now, nodes, random, totals: Totals::default(), is_unpaced }
    }

    fn query_log(&mut self, index: usize, request: ReadRequest) {
        let now = self.now;
        self.nodes[index].log_queries.push((now + LOG_TIME, request));
    }

    /// Sends `bytes` bytes and returns the time of their arrival.
    fn send(&mut self, index: usize, bytes: usize) -> Instant {
        let node = &mut self.nodes[index];
        let transmission_time = Duration::from_secs_f64(bytes as f64 / link_bytes_per_second());
        node.link_free_at = node.link_free_at.max(self.now) + transmission_time;
        let queued = node.link_free_at - self.now - transmission_time;
        self.totals.longest_queue = self.totals.longest_queue.max(queued);
        node.link_free_at
    }

    fn finish(&mut self, request: ReadRequest, arrives_at: Instant) {
        self.totals.completed += usize::from(arrives_at <= request.started_at + READ_TIMEOUT);
    }

    fn handle_request(&mut self, index: usize, request: ReadRequest) {
        if self.is_unpaced {
            let arrives_at = self.send(index, DOCUMENT_BYTES);
            self.finish(request, arrives_at);
            return;
        }
        let times = (self.now, request.started_at.max(self.now - LOG_TIME));
        let node = &mut self.nodes[index];
        match node.lane.decide(times, DOCUMENT_BYTES, request.hops, &node.other_instances) {
            Course::Here => {
                node.lane.push(Request(request.id), DOCUMENT_BYTES);
                node.sending.push(request);
            }
            Course::Elsewhere(target) => {
                let hops = request.hops + 1;
                let target =
                    (0..CONTROL_INSTANCES).find(|index| instance(*index) == target).unwrap();
                self.query_log(target, ReadRequest { hops, ..request });
            }
            Course::Later(delay) => assert!(delay > Duration::ZERO),
        }
    }

    fn send_slices(&mut self, index: usize) {
        let now = self.now;
        let timed_out: Vec<ReadRequest> = self.nodes[index]
            .sending
            .extract_if(.., |request| request.started_at + READ_TIMEOUT < now)
            .collect();
        for request in timed_out {
            self.nodes[index].lane.remove(Request(request.id));
        }
        while let Some(slice) = self.nodes[index].lane.next(now) {
            let arrives_at = self.send(index, slice.bytes);
            if slice.is_last {
                let is_completed = |request: &mut ReadRequest| Request(request.id) == slice.request;
                let completed: Vec<ReadRequest> =
                    self.nodes[index].sending.extract_if(.., is_completed).collect();
                self.finish(completed[0], arrives_at);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.random.random_range(0..1000) < REQUESTS_PER_THOUSAND_STEPS {
            let index = self.random.random_range(0..CONTROL_INSTANCES);
            let id = self.totals.requests as u64;
            self.totals.requests += 1;
            self.query_log(index, ReadRequest { id, started_at: self.now, hops: 0 });
        }
        for index in 0..CONTROL_INSTANCES {
            let now = self.now;
            let due: Vec<_> = self.nodes[index]
                .log_queries
                .extract_if(.., |(responds_at, _)| *responds_at <= now)
                .collect();
            for (_, request) in due {
                self.handle_request(index, request);
            }
            self.send_slices(index);
        }
    }
}

fn simulate(seed: u64, is_unpaced: bool) -> Totals {
    let mut simulation = Simulation::new(seed, is_unpaced);
    for _ in 0..60_000 {
        simulation.step();
    }
    simulation.totals
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn operators_read_a_large_document_in_time_and_do_not_delay_the_log(seed: u64) {
    let Totals { requests, completed, longest_queue } = simulate(seed, false);
    let unpaced = simulate(seed, true);
    println!("{completed} of {requests} complete in time, {longest_queue:?} queued at most");
    println!(
        "without pacing: {} of {} complete in time, {:?} queued at most",
        unpaced.completed, unpaced.requests, unpaced.longest_queue
    );
    assert!(completed * 10 >= requests * 9, "{completed} of {requests}");
    assert!(longest_queue <= MAX_QUEUED_TIME, "{longest_queue:?}");
}

#[test]
fn a_request_that_was_redirected_twice_is_rejected_with_a_retry_delay() {
    let now = Instant::now();
    let mut lane = Lane::new(LINK_MEGABITS);
    let others = [instance(1)];
    assert_eq!(lane.decide((now, now), DOCUMENT_BYTES, 0, &others), Course::Here);
    lane.push(Request(1), DOCUMENT_BYTES);
    assert_eq!(
        lane.decide((now, now), 0, 2, &others),
        Course::Here,
        "an empty document meets the deadline"
    );
    assert_eq!(lane.decide((now, now), DOCUMENT_BYTES, 0, &others), Course::Elsewhere(instance(1)));
    let Course::Later(delay) = lane.decide((now, now), DOCUMENT_BYTES, 2, &others) else {
        unreachable!("the link is busy");
    };
    assert!(delay > Duration::from_millis(800) && delay < Duration::from_secs(1), "{delay:?}");
}

#[test]
fn an_abandoned_response_frees_the_link() {
    let now = Instant::now();
    let mut lane = Lane::new(LINK_MEGABITS);
    lane.push(Request(1), DOCUMENT_BYTES);
    lane.push(Request(2), 100);
    assert!(lane.next(now).is_some_and(|slice| slice.request == Request(1) && !slice.is_last));
    lane.remove(Request(1));
    let slice = lane.next(lane.next_at().unwrap()).unwrap();
    assert_eq!((slice.request, slice.bytes, slice.is_last), (Request(2), 100, true));
    assert_eq!(lane.next_at(), None);
}

#[test]
fn several_small_documents_are_accepted_at_the_same_time() {
    let now = Instant::now();
    let mut lane = Lane::new(LINK_MEGABITS);
    for request in 0..5 {
        assert_eq!(lane.decide((now, now), 51_000, 0, &[instance(1)]), Course::Here);
        lane.push(Request(request), 51_000);
    }
    assert_eq!(lane.decide((now, now), 102_000, 0, &[instance(1)]), Course::Elsewhere(instance(1)));
}
