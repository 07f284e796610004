//! The desk for service: ranks with least shares, fair queueing by account, deadlines.

mod accounts;
mod lane;
mod pace;
mod store;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use declare::Rank;

use crate::{Decision, Desk, Offer, Step, Ticket, Tokens};
use accounts::{AccountId, Accounts};
use lane::Lane;
use pace::{Pace, drain};
use store::{Store, Waiting};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Most tokens that one request is charged, whatever its caller asks for.
const MAX_COST: Tokens = Tokens(1 << 32);

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    lane: usize,
    account: AccountId,
    cost: Tokens,
    started: Instant,
}

/// Serves ranks strictly in their order, but for the least share that each kind of work keeps.
///
/// Inside a rank the account that was served the fewest tokens for its weight goes first, and
/// inside an account the earliest deadline. Work that cannot meet its deadline is refused.
#[derive(Debug)]
pub struct Ranked {
    room: u32,
    max_waiting: usize,
    running: Vec<Running>,
    store: Store,
    lanes: Vec<Lane>,
    accounts: Accounts,
    pace: Pace,
    refused: Vec<Step>,
}

impl Ranked {
    /// A desk at which `room` requests may run and `max_waiting` may wait at once.
    pub fn new(room: u32, max_waiting: usize) -> Self {
        Self {
            room,
            max_waiting,
            running: Vec::new(),
            store: Store::default(),
            lanes: Vec::new(),
            accounts: Accounts::default(),
            pace: Pace::default(),
            refused: Vec::new(),
        }
    }

    fn has_room(&self) -> bool {
        self.running() < self.room
    }

    fn find_lane(&mut self, offer: &Offer) -> usize {
        let is_same = |lane: &Lane| lane.kind == offer.kind && lane.rank == offer.rank;
        let index = match self.lanes.iter().position(is_same) {
            Some(index) => index,
            None => {
                self.lanes.push(Lane::new(offer.kind.clone(), offer.rank));
                self.lanes.len() - 1
            }
        };
        self.lanes[index].least_share_percent = offer.least_share_percent;
        index
    }

    /// How long until the next running request ends.
    fn next_end(&self, now: Instant) -> Duration {
        let ends = self.running.iter().map(|running| {
            let pace = &self.lanes[running.lane].pace;
            let end = running.started + pace.service(running.cost);
            end.saturating_duration_since(now)
        });
        if self.has_room() { Duration::ZERO } else { ends.min().unwrap_or_default() }
    }

    /// How long a request of `lane` and `account` would wait for what waits before it.
    fn forecast(&self, lane: usize, account: AccountId, deadline: Instant, cost: u64) -> Duration {
        let lane = &self.lanes[lane];
        let weight = self.accounts.weight(account);
        let others = match lane.holds(account) {
            true => self.accounts.waiting_weight(lane.rank).saturating_sub(weight),
            false => self.accounts.waiting_weight(lane.rank),
        };
        let own = lane.tokens_before(account, deadline);
        let fair = own + (own + cost).saturating_mul(others) / weight;
        let is_same = |other: &&Lane| other.rank == lane.rank;
        let in_rank = self.lanes.iter().filter(is_same).map(Lane::waiting_tokens).sum();
        let above = self.lanes.iter().filter(|other| other.rank < lane.rank);
        let ahead = above.map(|other| self.work(other, other.waiting_tokens())).sum::<Duration>();
        let ahead = ahead + self.work(lane, fair.min(in_rank));
        let below = self.lanes.iter().filter(|other| other.rank > lane.rank && other.waiting() > 0);
        let kept: u32 = below.map(|other| other.least_share_percent).sum();
        let ranked = drain(ahead, self.room, 100_u32.saturating_sub(kept));
        if lane.least_share_percent == 0 {
            return ranked;
        }
        let share = self.work(lane, fair.min(lane.waiting_tokens()));
        ranked.min(drain(share, self.room, lane.least_share_percent))
    }

    /// How long one slot takes for `tokens` of `lane`.
    fn work(&self, lane: &Lane, tokens: u64) -> Duration {
        let pace = if lane.pace.is_known() { &lane.pace } else { &self.pace };
        pace.work(tokens)
    }

    /// When a caller of `lane` should come back: when what waits before it is served.
    fn retry_after(&self, lane: usize) -> Duration {
        let rank = self.lanes[lane].rank;
        let ahead = self.lanes.iter().filter(|other| other.rank <= rank);
        let work = ahead.map(|other| self.work(other, other.waiting_tokens())).sum();
        clamp(drain(work, self.room, 100))
    }

    fn start(&mut self, now: Instant, ticket: Ticket, lane: usize, account: AccountId, cost: u64) {
        let rank = self.lanes[lane].rank;
        let old = self.accounts.counter(account, rank);
        let same_rank = self.lanes.iter().filter(|lane| lane.rank == rank);
        let least = same_rank.filter_map(Lane::least_counter).min();
        self.accounts.start(account, rank, least, cost);
        self.move_account(account, lane, old);
        self.lanes[lane].running += 1;
        self.settle(lane, i64::try_from(cost).unwrap_or(i64::MAX));
        let running = Running { ticket, lane, account, cost: Tokens(cost), started: now };
        let index = self.running.partition_point(|other| other.ticket < ticket);
        self.running.insert(index, running);
    }

    /// Moves the account in all queues of the rank from its counter `old` to its present one.
    fn move_account(&mut self, account: AccountId, lane: usize, old: u64) {
        let rank = self.lanes[lane].rank;
        let new = self.accounts.counter(account, rank);
        for lane in self.lanes.iter_mut().filter(|lane| lane.rank == rank) {
            lane.move_account(account, old, new);
        }
    }

    /// Accounts `tokens` served to the kind of `lane` for the least shares of all kinds.
    fn settle(&mut self, lane: usize, tokens: i64) {
        for other in &mut self.lanes {
            other.earn(tokens);
        }
        self.lanes[lane].spend(tokens);
    }

    fn enqueue(&mut self, waiting: Waiting) {
        let rank = self.lanes[waiting.lane].rank;
        let old = self.accounts.counter(waiting.account, rank);
        self.accounts.add_waiting(waiting.account, rank);
        self.move_account(waiting.account, waiting.lane, old);
        let counter = self.accounts.counter(waiting.account, rank);
        let Waiting { account, deadline, ticket, cost, .. } = waiting;
        self.lanes[waiting.lane].push(account, counter, deadline, ticket, cost);
        self.store.insert(waiting);
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.store.remove(ticket)?;
        let lane = &mut self.lanes[waiting.lane];
        let counter = self.accounts.counter(waiting.account, lane.rank);
        lane.remove(waiting.account, counter, waiting.deadline, ticket);
        self.accounts.remove_waiting(waiting.account, lane.rank);
        Some(waiting)
    }

    /// The request to give up when the queue is full: one of the least urgent rank among kinds
    /// that hold more than their reserved places.
    fn surplus(&self) -> Option<Ticket> {
        let lanes = self.lanes.iter();
        let beyond = lanes.filter(|lane| lane.waiting() > lane.reserved(self.max_waiting));
        beyond.max_by_key(|lane| (lane.rank, lane.waiting()))?.last()
    }

    /// Refuses the waiting request `surplus` to make room for `newest`.
    fn give_up(&mut self, surplus: Ticket, newest: Ticket) -> Decision {
        let Some(waiting) = self.dequeue(surplus) else {
            return Decision::Wait;
        };
        let retry_after = self.retry_after(waiting.lane);
        if surplus == newest {
            return Decision::Refuse { retry_after };
        }
        self.refused.push(Step::Refuse { ticket: surplus, retry_after });
        Decision::Wait
    }

    /// The lane whose first request runs next.
    fn pick(&self) -> Option<usize> {
        let lanes = || self.lanes.iter().enumerate().filter(|(_, lane)| lane.waiting() > 0);
        let owed = lanes().filter(|(_, lane)| lane.is_owed(self.room));
        let owed = owed.min_by_key(|(_, lane)| (Reverse(lane.credit()), lane.rank));
        let first =
            owed.or_else(|| lanes().min_by_key(|(_, lane)| (lane.rank, lane.least_counter())));
        first.map(|(index, _)| index)
    }

    fn refuse_late(&mut self, now: Instant, steps: &mut Vec<Step>) {
        while let Some(ticket) = self.store.late(now) {
            if let Some(waiting) = self.dequeue(ticket) {
                let retry_after = self.retry_after(waiting.lane);
                steps.push(Step::Refuse { ticket, retry_after });
            }
        }
    }

    fn run_next(&mut self, now: Instant) -> Option<Step> {
        let lane = self.pick()?;
        let ticket = self.lanes[lane].first()?;
        let waiting = self.dequeue(ticket)?;
        self.start(now, ticket, lane, waiting.account, waiting.cost.0);
        Some(Step::Run(ticket))
    }
}

fn clamp(retry_after: Duration) -> Duration {
    retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

impl Desk for Ranked {
    fn offer(&mut self, now: Instant, offer: Offer) -> Decision {
        let lane = self.find_lane(&offer);
        let account = self.accounts.enter(&offer.account, offer.weight);
        let Offer { ticket, deadline, .. } = offer;
        let cost = offer.cost.min(MAX_COST);
        if deadline <= now {
            return Decision::Refuse { retry_after: self.retry_after(lane) };
        }
        if self.has_room() && self.store.len() == 0 {
            self.accounts.lift(account, self.lanes[lane].rank);
            self.start(now, ticket, lane, account, cost.0);
            return Decision::Run;
        }
        let service = self.lanes[lane].pace.service(cost);
        let wait = self.next_end(now) + self.forecast(lane, account, deadline, cost.0);
        let ready = now + wait + service;
        if ready >= deadline {
            return Decision::Refuse { retry_after: clamp(ready - deadline) };
        }
        let latest_start = deadline.checked_sub(service).unwrap_or(now);
        self.enqueue(Waiting { ticket, lane, account, deadline, latest_start, cost });
        if self.store.len() <= self.max_waiting {
            return Decision::Wait;
        }
        self.give_up(self.surplus().unwrap_or(ticket), ticket)
    }

    fn finish(&mut self, now: Instant, ticket: Ticket, used: Tokens) {
        let found = self.running.binary_search_by(|running| running.ticket.cmp(&ticket));
        let Ok(index) = found else {
            return;
        };
        let running = self.running.remove(index);
        let Running { lane, account, cost, started, .. } = running;
        if used > Tokens(0) {
            let elapsed = now.saturating_duration_since(started);
            self.pace.observe(cost, elapsed);
            self.lanes[lane].pace.observe(cost, elapsed);
        }
        self.lanes[lane].running -= 1;
        let rank = self.lanes[lane].rank;
        let old = self.accounts.counter(account, rank);
        self.accounts.finish(account, rank, cost.0, used.min(MAX_COST).0);
        self.move_account(account, lane, old);
    }

    fn withdraw(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
        self.refused
            .retain(|step| !matches!(step, Step::Refuse { ticket: other, .. } if *other == ticket));
    }

    fn set_room(&mut self, room: u32) {
        self.room = room;
    }

    fn next(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = std::mem::take(&mut self.refused);
        self.refuse_late(now, &mut steps);
        while self.has_room() {
            match self.run_next(now) {
                Some(step) => steps.push(step),
                None => break,
            }
        }
        steps
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn ahead(&self, rank: Rank) -> u32 {
        let lanes = self.lanes.iter().filter(|lane| lane.rank <= rank);
        u32::try_from(lanes.map(Lane::waiting).sum::<usize>()).unwrap_or(u32::MAX)
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.store.len()).unwrap_or(u32::MAX)
    }
}
