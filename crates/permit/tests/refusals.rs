//! Caching of refusals: an instance refuses similar requests itself until the retry time.

#![allow(clippy::unwrap_used)]

mod simulation;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};
use declare::Rank;
use permit::{Action, Context, Node, PlacementOutcome, PlacementRequest};
use placement::{LoadBound, Rendezvous};
use simulation::records::{instance, placement_request, record, upstream_name};
use upstream::Registry;

const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A queue that refuses all requests and counts them.
struct RefusingQueue(Rc<Cell<usize>>);

impl AdmissionQueue for RefusingQueue {
    fn submit(&mut self, _: Instant, _: AdmissionRequest) -> Decision {
        self.0.set(self.0.get() + 1);
        Decision::Refuse { retry_after: RETRY_AFTER }
    }

    fn finish(&mut self, _: Instant, _: RequestId, _: Tokens) {}

    fn withdraw(&mut self, _: RequestId) {}

    fn set_max_running(&mut self, _: u32) {}

    fn next_actions(&mut self, _: Instant) -> Vec<QueueAction> {
        Vec::new()
    }

    fn running(&self) -> u32 {
        0
    }

    fn waiting(&self) -> u32 {
        0
    }

    fn waiting_ahead(&self, _: Rank) -> u32 {
        0
    }
}

/// A single instance that owns all upstreams.
struct SingleNode {
    node: Node,
    registry: Registry,
    submissions: Rc<Cell<usize>>,
    start: Instant,
    requests: u64,
}

impl SingleNode {
    fn new() -> Self {
        Self::with_upstreams(1)
    }

    fn with_upstreams(count: usize) -> Self {
        let start = Instant::now();
        let submissions = Rc::new(Cell::new(0));
        let counter = submissions.clone();
        let create_queue =
            Box::new(move || Box::new(RefusingQueue(counter.clone())) as Box<dyn AdmissionQueue>);
        let policy = Box::new(Rendezvous);
        let mut node = Node::new(start, instance(0), LoadBound::default(), policy, create_queue, 1);
        let mut registry = Registry::default();
        for number in 0..count {
            registry.merge(start, record(number, 1, false, false));
        }
        node.refresh(Context { now: start, registry: &registry });
        Self { node, registry, submissions, start, requests: 0 }
    }

    /// Places a request `millis` after the start and returns the retry time.
    fn place<F>(&mut self, millis: u64, change: F) -> Duration
    where
        F: FnOnce(&mut PlacementRequest),
    {
        let now = self.start + Duration::from_millis(millis);
        let mut request = placement_request(0, now, &[]);
        change(&mut request);
        self.requests += 1;
        let context = Context { now, registry: &self.registry };
        let actions = self.node.place(context, self.requests, request);
        let Some(Action::Complete(_, PlacementOutcome::Refused { retry_after })) = actions.first()
        else {
            unreachable!("{actions:?}");
        };
        *retry_after
    }
}

#[test]
fn one_probe_reaches_the_owner_before_the_retry_time() {
    let mut single = SingleNode::new();
    assert_eq!(single.place(0, |_| ()), RETRY_AFTER);
    assert_eq!(single.place(10, |_| ()), RETRY_AFTER, "the probe is refused by the owner");
    assert_eq!(
        single.place(110, |_| ()),
        Duration::from_millis(400),
        "time left since the probe at 10 ms"
    );
    assert_eq!(single.place(409, |_| ()), Duration::from_millis(101));
    assert_eq!(single.submissions.get(), 2);
    assert_eq!(single.place(511, |_| ()), RETRY_AFTER, "the cached refusal has expired");
    assert_eq!(single.submissions.get(), 3);
}

#[test]
fn requests_with_other_attributes_are_not_refused() {
    let mut single = SingleNode::new();
    for millis in 0..4 {
        single.place(millis, |_| ());
    }
    let submissions = single.submissions.get();
    single.place(5, |request| request.account = "farm-north".parse().unwrap());
    single.place(6, |request| request.kind = "tag".parse().unwrap());
    single.place(7, |request| request.cost = Tokens(1));
    single.place(8, |request| request.deadline += Duration::from_secs(1));
    assert_eq!(single.submissions.get(), submissions + 4);
}

#[test]
fn a_refusal_counts_only_for_requests_that_exclude_the_same_upstreams() {
    let mut single = SingleNode::with_upstreams(3);
    for millis in 0..4 {
        single.place(millis, |request| request.excluded = vec![upstream_name(1)]);
    }
    let submissions = single.submissions.get();
    single.place(5, |request| request.excluded = vec![upstream_name(0), upstream_name(1)]);
    assert_eq!(single.submissions.get(), submissions, "no further upstream may serve it");
    single.place(6, |request| request.excluded = vec![upstream_name(2)]);
    assert_eq!(single.submissions.get(), submissions + 1, "upstream 1 may serve it");
    single.place(7, |_| ());
    assert_eq!(single.submissions.get(), submissions + 2, "upstream 1 may serve it");
}
