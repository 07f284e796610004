//! Admission queue for production use: priority by rank with minimum shares, fair queueing by
//! account, and deadlines.

mod kind_queue;
mod service_time;
mod waiting;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use declare::Rank;
use names::ClientAccount;

use crate::accounts::{AccountId, Accounts};
use crate::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};
use kind_queue::KindQueue;
use service_time::{ServiceTime, drain_time};
use waiting::{WaitingRequest, WaitingRequests};

/// Number of ranks.
const RANKS: usize = 3;

/// Shortest retry delay for the caller of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry delay for the caller of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Largest cost that one request is charged, regardless of the cost that its caller states.
const MAX_COST: Tokens = Tokens(1 << 32);

#[derive(Debug)]
struct Running {
    request_id: RequestId,
    kind_queue: usize,
    account: AccountId,
    cost: Tokens,
    started: Instant,
}

/// Admission queue with strict priority by rank and a minimum share for each kind of work.
///
/// Inside a rank, the account that was served the fewest tokens relative to its weight goes first.
/// Inside an account, the request with the earliest deadline goes first. Requests that cannot meet
/// their deadline are refused.
#[derive(Debug)]
pub struct Ranked {
    max_running: u32,
    max_waiting: usize,
    running: Vec<Running>,
    waiting: WaitingRequests,
    kind_queues: Vec<KindQueue>,
    accounts: Accounts<ClientAccount, RANKS>,
    service_time: ServiceTime,
    /// Refusals that the next call of [`AdmissionQueue::next_actions`] returns.
    evictions: Vec<QueueAction>,
}

impl Ranked {
    /// Creates a queue that allows at most `max_running` running and `max_waiting` waiting
    /// requests.
    pub fn new(max_running: u32, max_waiting: usize) -> Self {
        Self {
            max_running,
            max_waiting,
            running: Vec::new(),
            waiting: WaitingRequests::default(),
            kind_queues: Vec::new(),
            accounts: Accounts::default(),
            service_time: ServiceTime::default(),
            evictions: Vec::new(),
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running() < self.max_running
    }

    fn find_kind_queue(&mut self, request: &AdmissionRequest) -> usize {
        let is_same_kind =
            |queue: &KindQueue| queue.kind == request.kind && queue.rank == request.rank;
        let index = match self.kind_queues.iter().position(is_same_kind) {
            Some(index) => index,
            None => {
                self.kind_queues.push(KindQueue::new(request.kind.clone(), request.rank));
                self.kind_queues.len() - 1
            }
        };
        self.kind_queues[index].least_share_percent = request.least_share_percent;
        index
    }

    /// Returns the estimated time until a slot is free.
    fn time_to_free_slot(&self, now: Instant) -> Duration {
        let ends = self.running.iter().map(|running| {
            let service_time = &self.kind_queues[running.kind_queue].service_time;
            let end = running.started + service_time.of_request(running.cost);
            end.saturating_duration_since(now)
        });
        if self.has_free_slot() { Duration::ZERO } else { ends.min().unwrap_or_default() }
    }

    /// Estimates how long a new request of `account` in `kind_queue` would wait for the requests
    /// that are served before it.
    fn estimate_wait(
        &self,
        kind_queue: usize,
        account: AccountId,
        deadline: Instant,
        cost: u64,
    ) -> Duration {
        let kind_queue = &self.kind_queues[kind_queue];
        let weight = self.accounts.weight(account);
        let other_weights = match kind_queue.has_requests_of(account) {
            true => self.accounts.waiting_weight(kind_queue.rank as usize).saturating_sub(weight),
            false => self.accounts.waiting_weight(kind_queue.rank as usize),
        };
        let own_tokens = kind_queue.tokens_before(account, deadline);
        let fair_tokens = own_tokens + (own_tokens + cost).saturating_mul(other_weights) / weight;
        let is_same_rank = |other: &&KindQueue| other.rank == kind_queue.rank;
        let rank_tokens =
            self.kind_queues.iter().filter(is_same_rank).map(KindQueue::waiting_tokens).sum();
        let above = self.kind_queues.iter().filter(|other| other.rank < kind_queue.rank);
        let ahead =
            above.map(|other| self.slot_time(other, other.waiting_tokens())).sum::<Duration>();
        let ahead = ahead + self.slot_time(kind_queue, fair_tokens.min(rank_tokens));
        let below = self
            .kind_queues
            .iter()
            .filter(|other| other.rank > kind_queue.rank && other.waiting() > 0);
        let reserved_percent: u32 = below.map(|other| other.least_share_percent).sum();
        let rank_wait =
            drain_time(ahead, self.max_running, 100_u32.saturating_sub(reserved_percent));
        if kind_queue.least_share_percent == 0 {
            return rank_wait;
        }
        let share_time = self.slot_time(kind_queue, fair_tokens.min(kind_queue.waiting_tokens()));
        rank_wait.min(drain_time(share_time, self.max_running, kind_queue.least_share_percent))
    }

    /// Returns the time that one slot takes for `tokens` tokens of `kind_queue`.
    fn slot_time(&self, kind_queue: &KindQueue, tokens: u64) -> Duration {
        let service_time = if kind_queue.service_time.is_known() {
            &kind_queue.service_time
        } else {
            &self.service_time
        };
        service_time.total(tokens)
    }

    /// Returns the retry delay for a refused request of `kind_queue`: the time until all waiting
    /// requests of the same and more urgent ranks are served.
    fn retry_after(&self, kind_queue: usize) -> Duration {
        let rank = self.kind_queues[kind_queue].rank;
        let ahead = self.kind_queues.iter().filter(|other| other.rank <= rank);
        let work = ahead.map(|other| self.slot_time(other, other.waiting_tokens())).sum();
        clamp_retry_after(drain_time(work, self.max_running, 100))
    }

    fn start(
        &mut self,
        now: Instant,
        request_id: RequestId,
        kind_queue: usize,
        account: AccountId,
        cost: u64,
    ) {
        let rank = self.kind_queues[kind_queue].rank;
        let old = self.accounts.counter(account, rank as usize);
        let same_rank = self.kind_queues.iter().filter(|queue| queue.rank == rank);
        let min_counter = same_rank.filter_map(KindQueue::min_counter).min();
        self.accounts.start(account, rank as usize, min_counter, cost);
        self.move_account(account, kind_queue, old);
        self.kind_queues[kind_queue].running += 1;
        self.update_credits(kind_queue, i64::try_from(cost).unwrap_or(i64::MAX));
        let running = Running { request_id, kind_queue, account, cost: Tokens(cost), started: now };
        let index = self.running.partition_point(|other| other.request_id < request_id);
        self.running.insert(index, running);
    }

    /// Updates the position of the account in all queues of the rank after its counter changed from
    /// `old` to its current value.
    fn move_account(&mut self, account: AccountId, kind_queue: usize, old: u64) {
        let rank = self.kind_queues[kind_queue].rank;
        let new = self.accounts.counter(account, rank as usize);
        for queue in self.kind_queues.iter_mut().filter(|queue| queue.rank == rank) {
            queue.move_account(account, old, new);
        }
    }

    /// Updates the credits of all kinds of work after `tokens` tokens of the kind of `kind_queue`
    /// were served.
    fn update_credits(&mut self, kind_queue: usize, tokens: i64) {
        for other in &mut self.kind_queues {
            other.add_credit(tokens);
        }
        self.kind_queues[kind_queue].charge_credit(tokens);
    }

    fn enqueue(&mut self, waiting: WaitingRequest) {
        let rank = self.kind_queues[waiting.kind_queue].rank;
        let old = self.accounts.counter(waiting.account, rank as usize);
        self.accounts.add_waiting(waiting.account, rank as usize);
        self.move_account(waiting.account, waiting.kind_queue, old);
        let counter = self.accounts.counter(waiting.account, rank as usize);
        let WaitingRequest { account, deadline, request_id, cost, .. } = waiting;
        self.kind_queues[waiting.kind_queue].push(account, counter, deadline, request_id, cost);
        self.waiting.insert(waiting);
    }

    fn dequeue(&mut self, request_id: RequestId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(request_id)?;
        let kind_queue = &mut self.kind_queues[waiting.kind_queue];
        let counter = self.accounts.counter(waiting.account, kind_queue.rank as usize);
        kind_queue.remove(waiting.account, counter, waiting.deadline, request_id);
        self.accounts.remove_waiting(waiting.account, kind_queue.rank as usize);
        Some(waiting)
    }

    /// Returns the request to evict from a full queue. It has the least urgent rank among the kinds
    /// of work that occupy more than their reserved places.
    fn find_eviction_candidate(&self) -> Option<RequestId> {
        let queues = self.kind_queues.iter();
        let over_reserve =
            queues.filter(|queue| queue.waiting() > queue.reserved_places(self.max_waiting));
        over_reserve.max_by_key(|queue| (queue.rank, queue.waiting()))?.eviction_candidate()
    }

    /// Refuses the waiting request `evicted` because the queue exceeds its limit. Returns the
    /// decision about `newest`, the request that was added last.
    fn evict(&mut self, evicted: RequestId, newest: RequestId) -> Decision {
        let Some(waiting) = self.dequeue(evicted) else {
            return Decision::Wait;
        };
        let retry_after = self.retry_after(waiting.kind_queue);
        if evicted == newest {
            return Decision::Refuse { retry_after };
        }
        self.evictions.push(QueueAction::Refuse { request_id: evicted, retry_after });
        Decision::Wait
    }

    /// Returns the index of the kind queue whose next request runs next.
    fn select_kind_queue(&self) -> Option<usize> {
        let queues =
            || self.kind_queues.iter().enumerate().filter(|(_, queue)| queue.waiting() > 0);
        let below_share = queues().filter(|(_, queue)| queue.is_below_min_share(self.max_running));
        let below_share =
            below_share.min_by_key(|(_, queue)| (Reverse(queue.credit()), queue.rank));
        let selected = below_share
            .or_else(|| queues().min_by_key(|(_, queue)| (queue.rank, queue.min_counter())));
        selected.map(|(index, _)| index)
    }

    fn refuse_late(&mut self, now: Instant, actions: &mut Vec<QueueAction>) {
        while let Some(request_id) = self.waiting.first_late(now) {
            if let Some(waiting) = self.dequeue(request_id) {
                let retry_after = self.retry_after(waiting.kind_queue);
                actions.push(QueueAction::Refuse { request_id, retry_after });
            }
        }
    }

    fn run_next(&mut self, now: Instant) -> Option<QueueAction> {
        let kind_queue = self.select_kind_queue()?;
        let request_id = self.kind_queues[kind_queue].next_request()?;
        let waiting = self.dequeue(request_id)?;
        self.start(now, request_id, kind_queue, waiting.account, waiting.cost.0);
        Some(QueueAction::Run(request_id))
    }
}

fn clamp_retry_after(retry_after: Duration) -> Duration {
    retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

impl AdmissionQueue for Ranked {
    fn submit(&mut self, now: Instant, request: AdmissionRequest) -> Decision {
        let kind_queue = self.find_kind_queue(&request);
        let account = self.accounts.get_or_insert(&request.account, request.weight);
        let AdmissionRequest { request_id, deadline, .. } = request;
        let cost = request.cost.min(MAX_COST);
        if deadline <= now {
            return Decision::Refuse { retry_after: self.retry_after(kind_queue) };
        }
        if self.has_free_slot() && self.waiting.len() == 0 {
            self.accounts.raise_to_floor(account, self.kind_queues[kind_queue].rank as usize);
            self.start(now, request_id, kind_queue, account, cost.0);
            return Decision::Run;
        }
        let service_time = self.kind_queues[kind_queue].service_time.of_request(cost);
        let wait =
            self.time_to_free_slot(now) + self.estimate_wait(kind_queue, account, deadline, cost.0);
        let expected_end = now + wait + service_time;
        if expected_end >= deadline {
            return Decision::Refuse { retry_after: clamp_retry_after(expected_end - deadline) };
        }
        let latest_start = deadline.checked_sub(service_time).unwrap_or(now);
        self.enqueue(WaitingRequest {
            request_id,
            kind_queue,
            account,
            deadline,
            latest_start,
            cost,
        });
        if self.waiting.len() <= self.max_waiting {
            return Decision::Wait;
        }
        self.evict(self.find_eviction_candidate().unwrap_or(request_id), request_id)
    }

    fn finish(&mut self, now: Instant, request_id: RequestId, used: Tokens) {
        let found = self.running.binary_search_by(|running| running.request_id.cmp(&request_id));
        let Ok(index) = found else {
            return;
        };
        let running = self.running.remove(index);
        let Running { kind_queue, account, cost, started, .. } = running;
        if used > Tokens(0) {
            let elapsed = now.saturating_duration_since(started);
            self.service_time.observe(cost, elapsed);
            self.kind_queues[kind_queue].service_time.observe(cost, elapsed);
        }
        self.kind_queues[kind_queue].running -= 1;
        let rank = self.kind_queues[kind_queue].rank;
        let old = self.accounts.counter(account, rank as usize);
        self.accounts.finish(account, rank as usize, cost.0, used.min(MAX_COST).0);
        self.move_account(account, kind_queue, old);
    }

    fn withdraw(&mut self, id: RequestId) {
        self.dequeue(id);
        self.evictions.retain(
            |entry| !matches!(entry, QueueAction::Refuse { request_id: other, .. } if *other == id),
        );
    }

    fn set_max_running(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    fn next_actions(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = std::mem::take(&mut self.evictions);
        self.refuse_late(now, &mut actions);
        while self.has_free_slot() {
            match self.run_next(now) {
                Some(action) => actions.push(action),
                None => break,
            }
        }
        actions
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn waiting_ahead(&self, rank: Rank) -> u32 {
        let queues = self.kind_queues.iter().filter(|queue| queue.rank <= rank);
        u32::try_from(queues.map(KindQueue::waiting).sum::<usize>()).unwrap_or(u32::MAX)
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}
