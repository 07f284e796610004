//! A model of an upstream that checks what every desk must hold.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use admission::{Decision, Desk, Offer, Step, Ticket, Tokens};
use declare::Rank;

pub const MILLISECOND: Duration = Duration::from_millis(1);

/// A request with little of its own to say.
pub fn offer(ticket: u64, account: &str, rank: Rank, cost: u64, deadline: Instant) -> Offer {
    Offer {
        ticket: Ticket(ticket),
        account: account.parse().unwrap(),
        weight: 1,
        kind: rank.to_string().parse().unwrap(),
        rank,
        least_share_percent: 0,
        deadline,
        cost: Tokens(cost),
    }
}

struct Running {
    offer: Offer,
    ends: Instant,
}

/// An upstream with one desk, slots that take a millisecond a token, and a clock of its own.
pub struct Model {
    pub desk: Box<dyn Desk>,
    pub now: Instant,
    pub room: u32,
    pub max_waiting: usize,
    pub waiting: Vec<Offer>,
    /// Requests in the order of their starts.
    pub started: Vec<Offer>,
    /// Requests in the order of their refusals.
    pub refused: Vec<Offer>,
    running: Vec<Running>,
}

impl Model {
    pub fn new(desk: Box<dyn Desk>, room: u32, max_waiting: usize) -> Self {
        Self {
            desk,
            now: Instant::now(),
            room,
            max_waiting,
            waiting: Vec::new(),
            started: Vec::new(),
            refused: Vec::new(),
            running: Vec::new(),
        }
    }

    pub fn offer(&mut self, offer: Offer) -> Decision {
        let decision = self.desk.offer(self.now, offer.clone());
        match decision {
            Decision::Run => {
                assert!(self.waiting.is_empty(), "{offer:?} overtook the queue");
                self.run(offer);
            }
            Decision::Wait => self.waiting.push(offer),
            Decision::Refuse { retry_after } => {
                assert!(retry_after > Duration::ZERO);
                self.refused.push(offer);
            }
        }
        self.settle();
        decision
    }

    fn run(&mut self, offer: Offer) {
        let ends = self.now + MILLISECOND * u32::try_from(offer.cost.0).unwrap();
        self.started.push(offer.clone());
        self.running.push(Running { offer, ends });
        assert!(self.running.len() <= self.room as usize, "above room");
    }

    /// Takes the desk's steps; each must name a waiting request.
    pub fn settle(&mut self) {
        for step in self.desk.next(self.now) {
            let (Step::Run(ticket) | Step::Refuse { ticket, .. }) = step;
            let found = self.waiting.iter().position(|offer| offer.ticket == ticket);
            let offer = self.waiting.remove(found.expect("a second final step"));
            match step {
                Step::Run(_) => {
                    assert!(offer.deadline > self.now, "dead work ran");
                    self.check_order(&offer);
                    self.run(offer);
                }
                Step::Refuse { retry_after, .. } => {
                    assert!(retry_after > Duration::ZERO);
                    self.refused.push(offer);
                }
            }
        }
        assert_eq!(self.desk.waiting() as usize, self.waiting.len());
        assert_eq!(self.desk.running() as usize, self.running.len());
        assert!(self.waiting.len() <= self.max_waiting, "more wait than allowed");
        let is_full = self.running.len() >= self.room as usize;
        assert!(is_full || self.waiting.is_empty(), "a slot idles while requests wait");
    }

    /// A more urgent request goes first unless the started kind has a least share; inside an
    /// account and kind the earliest deadline goes first.
    fn check_order(&self, started: &Offer) {
        for other in &self.waiting {
            let is_owed = started.least_share_percent > 0;
            assert!(is_owed || other.rank >= started.rank, "{other:?} waits behind {started:?}");
            let is_same = other.account == started.account && other.kind == started.kind;
            assert!(!is_same || other.deadline >= started.deadline, "{other:?} is due earlier");
        }
    }

    pub fn withdraw(&mut self, index: usize) {
        let offer = self.waiting.remove(index);
        self.desk.withdraw(offer.ticket);
        self.settle();
    }

    /// Moves the clock to the end of the running request that ends first; false when none runs.
    pub fn finish_one(&mut self) -> bool {
        let first = self.running.iter().enumerate().min_by_key(|(_, running)| running.ends);
        let Some((index, _)) = first else {
            return false;
        };
        let running = self.running.remove(index);
        self.now = self.now.max(running.ends);
        self.desk.finish(self.now, running.offer.ticket, running.offer.cost);
        self.settle();
        true
    }

    /// Moves the clock, ending what ends on the way.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.running.iter().any(|running| running.ends <= until) {
            self.finish_one();
        }
        self.now = until;
        self.settle();
    }

    pub fn running_of(&self, kind: &str) -> usize {
        self.running.iter().filter(|running| running.offer.kind.as_str() == kind).count()
    }

    pub fn waiting_of(&self, kind: &str) -> usize {
        self.waiting.iter().filter(|offer| offer.kind.as_str() == kind).count()
    }
}

/// Tokens of the started requests that `is_counted` holds for.
pub fn tokens_of<F>(started: &[Offer], is_counted: F) -> u64
where
    F: Fn(&Offer) -> bool,
{
    started.iter().filter(|offer| is_counted(offer)).map(|offer| offer.cost.0).sum()
}
