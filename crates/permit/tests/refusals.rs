//! Refusals of an owner are repeated at the caller's instance until the time to come back.

#![allow(clippy::unwrap_used)]

mod world;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{Decision, Desk, Offer, Step, Ticket, Tokens};
use declare::Rank;
use permit::{Action, Context, Node, Placed, Wanted};
use placement::{Bound, Rendezvous};
use upstream::Registry;
use world::records::{instance, record, wanted};

const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refuses all requests and counts them.
struct Refusing(Rc<Cell<usize>>);

impl Desk for Refusing {
    fn offer(&mut self, _: Instant, _: Offer) -> Decision {
        self.0.set(self.0.get() + 1);
        Decision::Refuse { retry_after: RETRY_AFTER }
    }

    fn finish(&mut self, _: Instant, _: Ticket, _: Tokens) {}

    fn withdraw(&mut self, _: Ticket) {}

    fn set_room(&mut self, _: u32) {}

    fn next(&mut self, _: Instant) -> Vec<Step> {
        Vec::new()
    }

    fn running(&self) -> u32 {
        0
    }

    fn waiting(&self) -> u32 {
        0
    }

    fn ahead(&self, _: Rank) -> u32 {
        0
    }
}

/// One instance that owns one upstream.
struct Alone {
    node: Node,
    registry: Registry,
    offers: Rc<Cell<usize>>,
    start: Instant,
    requests: u64,
}

impl Alone {
    fn new() -> Self {
        let start = Instant::now();
        let offers = Rc::new(Cell::new(0));
        let counted = offers.clone();
        let desk = Box::new(move || Box::new(Refusing(counted.clone())) as Box<dyn Desk>);
        let policy = Box::new(Rendezvous);
        let mut node = Node::new(start, instance(0), Bound::default(), policy, desk, 1);
        let mut registry = Registry::default();
        registry.merge(start, record(0, 1, false, false));
        node.refresh(Context { now: start, registry: &registry });
        Self { node, registry, offers, start, requests: 0 }
    }

    /// Asks at `millis` after the start; gives when to come back.
    fn ask<F>(&mut self, millis: u64, change: F) -> Duration
    where
        F: FnOnce(&mut Wanted),
    {
        let now = self.start + Duration::from_millis(millis);
        let mut wanted = wanted(0, now, &[]);
        change(&mut wanted);
        self.requests += 1;
        let context = Context { now, registry: &self.registry };
        let actions = self.node.place(context, self.requests, wanted);
        let Some(Action::Placed(_, Placed::Refused { retry_after })) = actions.first() else {
            unreachable!("{actions:?}");
        };
        *retry_after
    }
}

#[test]
fn a_refused_kind_is_asked_for_once_more_before_the_time_to_come_back() {
    let mut alone = Alone::new();
    assert_eq!(alone.ask(0, |_| ()), RETRY_AFTER);
    assert_eq!(alone.ask(10, |_| ()), RETRY_AFTER, "one more asks the owner");
    assert_eq!(alone.ask(110, |_| ()), Duration::from_millis(400), "what is left since 10 ms");
    assert_eq!(alone.ask(409, |_| ()), Duration::from_millis(101));
    assert_eq!(alone.offers.get(), 2);
    assert_eq!(alone.ask(511, |_| ()), RETRY_AFTER, "the time is over");
    assert_eq!(alone.offers.get(), 3);
}

#[test]
fn others_are_not_refused_with_it() {
    let mut alone = Alone::new();
    for millis in 0..4 {
        alone.ask(millis, |_| ());
    }
    let offers = alone.offers.get();
    alone.ask(5, |wanted| wanted.account = "farm-north".parse().unwrap());
    alone.ask(6, |wanted| wanted.kind = "tag".parse().unwrap());
    alone.ask(7, |wanted| wanted.cost = Tokens(1));
    alone.ask(8, |wanted| wanted.deadline += Duration::from_secs(1));
    assert_eq!(alone.offers.get(), offers + 4);
}
