//! The requests of a load, laid down in advance by a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Extra, Scenario};

/// One request that will be sent, whatever becomes of earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When it arrives, from the start of the load.
    pub at: Duration,
    /// Its place in the scenario's work.
    pub work: usize,
    /// Its place in the scenario's accounts.
    pub account: usize,
    /// Its conversation.
    pub conversation: u64,
    /// Requests of the conversation before it.
    pub turn: u32,
    /// Whether it belongs to the extra load.
    pub is_extra: bool,
}

struct Conversation {
    id: u64,
    work: usize,
    account: usize,
    turn: u32,
}

/// Draws requests.
struct Planner<'a> {
    scenario: &'a Scenario,
    generator: Pcg64Mcg,
    conversations: Vec<Conversation>,
    next_conversation: u64,
}

/// The requests of `scenario` in the order of their arrivals; they follow from `seed`.
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut planner = Planner {
        scenario,
        generator: Pcg64Mcg::seed_from_u64(seed),
        conversations: Vec::new(),
        next_conversation: seed << 32,
    };
    let end = scenario.warm_up.as_duration() + scenario.duration.as_duration();
    let mut requests = planner.base(end);
    if let Some(extra) = &scenario.extra {
        requests.extend(planner.extra(extra));
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// The time in which the extra load is offered: the middle third of the measured time.
pub fn extra_window(scenario: &Scenario) -> (Duration, Duration) {
    let third = scenario.duration.as_duration() / 3;
    let start = scenario.warm_up.as_duration() + third;
    (start, start + third)
}

/// The time to the next arrival of a Poisson process.
pub(crate) fn gap(generator: &mut Pcg64Mcg, per_second: f64) -> Duration {
    let uniform: f64 = generator.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}

impl Planner<'_> {
    fn gap(&mut self, per_second: f64) -> Duration {
        gap(&mut self.generator, per_second)
    }

    fn base(&mut self, end: Duration) -> Vec<Request> {
        let rate = self.scenario.base_rate();
        for _ in 0..self.scenario.conversations {
            let conversation = self.conversation();
            self.conversations.push(conversation);
        }
        let mut requests = Vec::new();
        let mut at = self.gap(rate);
        while at < end {
            let index = self.generator.random_range(0..self.conversations.len());
            requests.push(self.turn(index, at));
            at += self.gap(rate);
        }
        requests
    }

    fn conversation(&mut self) -> Conversation {
        let work: Vec<_> = self.scenario.work.iter().map(|work| work.part).collect();
        let accounts: Vec<_> = self.scenario.accounts.iter().map(|account| account.part).collect();
        self.next_conversation += 1;
        Conversation {
            id: self.next_conversation,
            work: self.draw(&work),
            account: self.draw(&accounts),
            turn: 0,
        }
    }

    /// A place, drawn by the parts.
    fn draw(&mut self, parts: &[u32]) -> usize {
        let total = parts.iter().sum::<u32>().max(1);
        let mut left = self.generator.random_range(0..total);
        for (index, part) in parts.iter().enumerate() {
            if left < *part {
                return index;
            }
            left -= part;
        }
        0
    }

    fn turn(&mut self, index: usize, at: Duration) -> Request {
        let conversation = &mut self.conversations[index];
        let request = Request {
            at,
            work: conversation.work,
            account: conversation.account,
            conversation: conversation.id,
            turn: conversation.turn,
            is_extra: false,
        };
        conversation.turn += 1;
        if conversation.turn >= self.scenario.turns {
            self.conversations[index] = self.conversation();
        }
        request
    }

    fn extra(&mut self, extra: &Extra) -> Vec<Request> {
        let (start, end) = extra_window(self.scenario);
        let rate = self.extra_rate(extra);
        let mut requests = Vec::new();
        let mut at = start + self.gap(rate);
        while at < end {
            let mut conversation = self.conversation();
            match extra {
                Extra::Flood { kind, .. } => {
                    let found = self.scenario.work.iter().position(|work| work.kind == *kind);
                    conversation.work = found.unwrap_or_default();
                }
                Extra::Surge { account, .. } => {
                    let mut accounts = self.scenario.accounts.iter();
                    let found = accounts.position(|other| other.name == *account);
                    conversation.account = found.unwrap_or_default();
                }
            }
            let Conversation { id, work, account, turn } = conversation;
            requests.push(Request { at, work, account, conversation: id, turn, is_extra: true });
            at += self.gap(rate);
        }
        requests
    }

    fn extra_rate(&self, extra: &Extra) -> f64 {
        match extra {
            Extra::Flood { percent, .. } => {
                self.scenario.capacity.as_per_second() * f64::from(*percent) / 100.0
            }
            Extra::Surge { account, factor } => {
                let accounts = &self.scenario.accounts;
                let total: u32 = accounts.iter().map(|account| account.part).sum();
                let own = accounts.iter().find(|other| other.name == *account);
                let part = own.map_or(0, |account| account.part);
                let share = f64::from(part.max(1)) / f64::from(total.max(1));
                self.scenario.base_rate() * share * f64::from(factor.saturating_sub(1).max(1))
            }
        }
    }
}
