//! Model of an upstream that checks the invariants of admission queues.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use admission::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};
use declare::Rank;

pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a request with weight 1, without a minimum share, whose kind is named after its rank.
pub fn request(
    id: u64,
    account: &str,
    rank: Rank,
    cost: u64,
    deadline: Instant,
) -> AdmissionRequest {
    AdmissionRequest {
        request_id: RequestId(id),
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
    request: AdmissionRequest,
    ends_at: Instant,
}

/// Upstream with an admission queue, slots that take one millisecond per token, and a virtual
/// clock.
pub struct Model {
    pub queue: Box<dyn AdmissionQueue>,
    pub now: Instant,
    pub max_running: u32,
    pub max_waiting: usize,
    pub waiting: Vec<AdmissionRequest>,
    /// Started requests in the order of their starts.
    pub started: Vec<AdmissionRequest>,
    /// Refused requests in the order of their refusals.
    pub refused: Vec<AdmissionRequest>,
    running: Vec<Running>,
}

impl Model {
    pub fn new(queue: Box<dyn AdmissionQueue>, max_running: u32, max_waiting: usize) -> Self {
        Self {
            queue,
            now: Instant::now(),
            max_running,
            max_waiting,
            waiting: Vec::new(),
            started: Vec::new(),
            refused: Vec::new(),
            running: Vec::new(),
        }
    }

    pub fn submit(&mut self, request: AdmissionRequest) -> Decision {
        let decision = self.queue.submit(self.now, request.clone());
        match decision {
            Decision::Run => {
                assert!(self.waiting.is_empty(), "{request:?} overtook the queue");
                self.run(request);
            }
            Decision::Wait => self.waiting.push(request),
            Decision::Refuse { retry_after } => {
                assert!(retry_after > Duration::ZERO);
                self.refused.push(request);
            }
        }
        self.apply_actions();
        decision
    }

    fn run(&mut self, request: AdmissionRequest) {
        let ends_at = self.now + MILLISECOND * u32::try_from(request.cost.0).unwrap();
        self.started.push(request.clone());
        self.running.push(Running { request, ends_at });
        assert!(self.running.len() <= self.max_running as usize, "more requests run than allowed");
    }

    /// Applies the actions of the queue. Each action must refer to a waiting request.
    pub fn apply_actions(&mut self) {
        for action in self.queue.next_actions(self.now) {
            let (QueueAction::Run(request_id) | QueueAction::Refuse { request_id, .. }) = action;
            let found = self.waiting.iter().position(|request| request.request_id == request_id);
            let request = self
                .waiting
                .remove(found.expect("the queue decided about a request that does not wait"));
            match action {
                QueueAction::Run(_) => {
                    assert!(request.deadline > self.now, "a request ran after its deadline");
                    self.check_order(&request);
                    self.run(request);
                }
                QueueAction::Refuse { retry_after, .. } => {
                    assert!(retry_after > Duration::ZERO);
                    self.refused.push(request);
                }
            }
        }
        assert_eq!(self.queue.waiting() as usize, self.waiting.len());
        assert_eq!(self.queue.running() as usize, self.running.len());
        assert!(self.waiting.len() <= self.max_waiting, "more requests wait than allowed");
        let is_full = self.running.len() >= self.max_running as usize;
        assert!(is_full || self.waiting.is_empty(), "a slot idles while requests wait");
    }

    /// Checks that no more urgent request waits unless the started kind has a minimum share, and
    /// that no request of the same account and kind with an earlier deadline waits.
    fn check_order(&self, started: &AdmissionRequest) {
        for other in &self.waiting {
            let has_min_share = started.least_share_percent > 0;
            assert!(
                has_min_share || other.rank >= started.rank,
                "{other:?} waits behind {started:?}"
            );
            let is_same_queue = other.account == started.account && other.kind == started.kind;
            assert!(
                !is_same_queue || other.deadline >= started.deadline,
                "{other:?} is due earlier"
            );
        }
    }

    pub fn withdraw(&mut self, index: usize) {
        let request = self.waiting.remove(index);
        self.queue.withdraw(request.request_id);
        self.apply_actions();
    }

    /// Advances the clock to the first end of a running request. Returns false if no request runs.
    pub fn finish_one(&mut self) -> bool {
        let first_to_end =
            self.running.iter().enumerate().min_by_key(|(_, running)| running.ends_at);
        let Some((index, _)) = first_to_end else {
            return false;
        };
        let running = self.running.remove(index);
        self.now = self.now.max(running.ends_at);
        self.queue.finish(self.now, running.request.request_id, running.request.cost);
        self.apply_actions();
        true
    }

    /// Advances the clock by `span` and finishes the requests that end in the meantime.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.running.iter().any(|running| running.ends_at <= until) {
            self.finish_one();
        }
        self.now = until;
        self.apply_actions();
    }

    pub fn running_of(&self, kind: &str) -> usize {
        self.running.iter().filter(|running| running.request.kind.as_str() == kind).count()
    }

    pub fn waiting_of(&self, kind: &str) -> usize {
        self.waiting.iter().filter(|request| request.kind.as_str() == kind).count()
    }
}

/// Returns the total cost of the started requests that match `is_counted`.
pub fn tokens_of<F>(started: &[AdmissionRequest], is_counted: F) -> u64
where
    F: Fn(&AdmissionRequest) -> bool,
{
    started.iter().filter(|request| is_counted(request)).map(|request| request.cost.0).sum()
}
