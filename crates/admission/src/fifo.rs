//! FIFO admission queue, the baseline for measurements of other queues.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use declare::Rank;

use crate::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};

/// Time after which the caller of a refused request should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs requests in the order of arrival, regardless of rank and account. A request whose deadline
/// has passed is refused when its turn comes.
#[derive(Debug, Default)]
pub struct Fifo {
    running: Vec<RequestId>,
    waiting: VecDeque<AdmissionRequest>,
    max_running: u32,
}

impl Fifo {
    /// Creates a queue that allows at most `max_running` running requests.
    pub fn new(max_running: u32) -> Self {
        Self { max_running, ..Self::default() }
    }

    fn has_free_slot(&self) -> bool {
        self.running() < self.max_running
    }
}

impl AdmissionQueue for Fifo {
    fn submit(&mut self, _: Instant, request: AdmissionRequest) -> Decision {
        if self.has_free_slot() && self.waiting.is_empty() {
            self.running.push(request.request_id);
            return Decision::Run;
        }
        self.waiting.push_back(request);
        Decision::Wait
    }

    fn finish(&mut self, _: Instant, request_id: RequestId, _: Tokens) {
        self.running.retain(|other| *other != request_id);
    }

    fn withdraw(&mut self, request_id: RequestId) {
        self.waiting.retain(|request| request.request_id != request_id);
    }

    fn set_max_running(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    fn next_actions(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        while self.has_free_slot() {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            if request.deadline <= now {
                actions.push(QueueAction::Refuse {
                    request_id: request.request_id,
                    retry_after: RETRY_AFTER,
                });
                continue;
            }
            self.running.push(request.request_id);
            actions.push(QueueAction::Run(request.request_id));
        }
        actions
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn waiting_ahead(&self, _: Rank) -> u32 {
        self.waiting()
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}
