//! First in, first out: the baseline that other desks are measured against.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use declare::Rank;

use crate::{Decision, Desk, Offer, Step, Ticket, Tokens};

/// When to ask again after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs requests in the order of their arrival, whatever their rank, account or deadline.
#[derive(Debug, Default)]
pub struct Fifo {
    running: Vec<Ticket>,
    waiting: VecDeque<Offer>,
    room: u32,
}

impl Fifo {
    /// A desk at which `room` requests may run at once.
    pub fn new(room: u32) -> Self {
        Self { room, ..Self::default() }
    }

    fn has_room(&self) -> bool {
        self.running() < self.room
    }
}

impl Desk for Fifo {
    fn offer(&mut self, _: Instant, offer: Offer) -> Decision {
        if self.has_room() && self.waiting.is_empty() {
            self.running.push(offer.ticket);
            return Decision::Run;
        }
        self.waiting.push_back(offer);
        Decision::Wait
    }

    fn finish(&mut self, _: Instant, ticket: Ticket, _: Tokens) {
        self.running.retain(|other| *other != ticket);
    }

    fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.retain(|offer| offer.ticket != ticket);
    }

    fn set_room(&mut self, room: u32) {
        self.room = room;
    }

    fn next(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.has_room() {
            let Some(offer) = self.waiting.pop_front() else {
                break;
            };
            if offer.deadline <= now {
                steps.push(Step::Refuse { ticket: offer.ticket, retry_after: RETRY_AFTER });
                continue;
            }
            self.running.push(offer.ticket);
            steps.push(Step::Run(offer.ticket));
        }
        steps
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn ahead(&self, _: Rank) -> u32 {
        self.waiting()
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}
