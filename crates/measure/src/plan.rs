//! Plans all requests of a load in advance from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Extra, Scenario};

/// Planned request, which is sent at its time whether or not earlier ones have ended (open loop).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Time of the arrival, from the start of the load.
    pub offset: Duration,
    /// Index of the kind of work in the scenario.
    pub work_index: usize,
    /// Index of the client account in the scenario.
    pub account_index: usize,
    /// Id of the conversation.
    pub conversation: u64,
    /// Number of earlier requests of the conversation.
    pub turn: u32,
    /// Whether the request belongs to the extra load.
    pub is_extra: bool,
}

struct Conversation {
    id: u64,
    work_index: usize,
    account_index: usize,
    turn: u32,
}

/// Draws the requests of a scenario at random.
struct Planner<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    conversations: Vec<Conversation>,
    next_conversation: u64,
}

/// Returns the requests of `scenario` in the order of their arrivals; the same seed gives the same
/// requests.
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut planner = Planner {
        scenario,
        rng: Pcg64Mcg::seed_from_u64(seed),
        conversations: Vec::new(),
        next_conversation: seed << 32,
    };
    let end = scenario.warm_up.as_duration() + scenario.duration.as_duration();
    let mut requests = planner.base_requests(end);
    if let Some(extra) = &scenario.extra {
        requests.extend(planner.extra_requests(extra));
    }
    requests.sort_by_key(|request| request.offset);
    requests
}

/// Returns the start and end of the extra load: the middle third of the measured time.
pub fn extra_window(scenario: &Scenario) -> (Duration, Duration) {
    let third = scenario.duration.as_duration() / 3;
    let start = scenario.warm_up.as_duration() + third;
    (start, start + third)
}

/// Draws the time to the next arrival of a Poisson process.
pub(crate) fn interarrival_time(rng: &mut Pcg64Mcg, per_second: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}

impl Planner<'_> {
    fn interarrival_time(&mut self, per_second: f64) -> Duration {
        interarrival_time(&mut self.rng, per_second)
    }

    /// Draws the base load up to `end`.
    fn base_requests(&mut self, end: Duration) -> Vec<Request> {
        let rate = self.scenario.base_rate();
        for _ in 0..self.scenario.conversations {
            let conversation = self.new_conversation();
            self.conversations.push(conversation);
        }
        let mut requests = Vec::new();
        let mut offset = self.interarrival_time(rate);
        while offset < end {
            let index = self.rng.random_range(0..self.conversations.len());
            requests.push(self.next_request(index, offset));
            offset += self.interarrival_time(rate);
        }
        requests
    }

    /// Draws a conversation by the weights of kinds of work and accounts.
    fn new_conversation(&mut self) -> Conversation {
        let work_weights: Vec<_> = self.scenario.work.iter().map(|work| work.part).collect();
        let account_weights: Vec<_> =
            self.scenario.accounts.iter().map(|account| account.part).collect();
        self.next_conversation += 1;
        Conversation {
            id: self.next_conversation,
            work_index: self.weighted_index(&work_weights),
            account_index: self.weighted_index(&account_weights),
            turn: 0,
        }
    }

    /// Draws an index at random in proportion to `weights`.
    fn weighted_index(&mut self, weights: &[u32]) -> usize {
        let total_weight = weights.iter().sum::<u32>().max(1);
        let mut remaining = self.rng.random_range(0..total_weight);
        for (index, weight) in weights.iter().enumerate() {
            if remaining < *weight {
                return index;
            }
            remaining -= weight;
        }
        0
    }

    /// Returns the next request of a conversation, which is replaced after its last turn.
    fn next_request(&mut self, index: usize, offset: Duration) -> Request {
        let conversation = &mut self.conversations[index];
        let request = Request {
            offset,
            work_index: conversation.work_index,
            account_index: conversation.account_index,
            conversation: conversation.id,
            turn: conversation.turn,
            is_extra: false,
        };
        conversation.turn += 1;
        if conversation.turn >= self.scenario.turns {
            self.conversations[index] = self.new_conversation();
        }
        request
    }

    /// Draws the extra load, each request in a conversation of its own.
    fn extra_requests(&mut self, extra: &Extra) -> Vec<Request> {
        let (start, end) = extra_window(self.scenario);
        let rate = self.extra_rate(extra);
        let mut requests = Vec::new();
        let mut offset = start + self.interarrival_time(rate);
        while offset < end {
            let mut conversation = self.new_conversation();
            match extra {
                Extra::Flood { kind, .. } => {
                    let matching_index =
                        self.scenario.work.iter().position(|work| work.kind == *kind);
                    conversation.work_index = matching_index.unwrap_or_default();
                }
                Extra::Surge { account, .. } => {
                    let mut accounts = self.scenario.accounts.iter();
                    let matching_index = accounts.position(|other| other.name == *account);
                    conversation.account_index = matching_index.unwrap_or_default();
                }
            }
            let Conversation { id, work_index, account_index, turn } = conversation;
            requests.push(Request {
                offset,
                work_index,
                account_index,
                conversation: id,
                turn,
                is_extra: true,
            });
            offset += self.interarrival_time(rate);
        }
        requests
    }

    /// Returns the rate of the extra load, in requests per second.
    fn extra_rate(&self, extra: &Extra) -> f64 {
        match extra {
            Extra::Flood { percent, .. } => {
                self.scenario.capacity.as_per_second() * f64::from(*percent) / 100.0
            }
            Extra::Surge { account, factor } => {
                let accounts = &self.scenario.accounts;
                let total_weight: u32 = accounts.iter().map(|account| account.part).sum();
                let surging = accounts.iter().find(|other| other.name == *account);
                let weight = surging.map_or(0, |account| account.part);
                let share = f64::from(weight.max(1)) / f64::from(total_weight.max(1));
                self.scenario.base_rate() * share * f64::from(factor.saturating_sub(1).max(1))
            }
        }
    }
}
