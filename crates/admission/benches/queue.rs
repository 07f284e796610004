//! Cost of one admission decision at the current and the planned scale.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use admission::{AdmissionQueue, AdmissionRequest, Fifo, QueueAction, Ranked, RequestId, Tokens};
use declare::Rank;
use divan::Bencher;

const RANKS: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Deferrable];

const MAX_RUNNING: u32 = 64;

/// Numbers of accounts and waiting requests in one queue: the current scale and the planned scale.
const SIZES: [(u64, u64); 3] = [(10, 100), (5_700, 3_000), (5_700, 10_000)];

/// Saturated admission queue. Each cycle finishes one request and submits another one.
struct Bench<Q> {
    queue: Q,
    now: Instant,
    accounts: u64,
    next_id: u64,
    running: VecDeque<RequestId>,
}

impl<Q> Bench<Q>
where
    Q: AdmissionQueue,
{
    fn new(queue: Q, accounts: u64, waiting: u64) -> Self {
        let mut bench =
            Self { queue, now: Instant::now(), accounts, next_id: 0, running: VecDeque::new() };
        for _ in 0..waiting + u64::from(MAX_RUNNING) {
            bench.submit_request();
        }
        bench.running = (0..u64::from(MAX_RUNNING)).map(RequestId).collect();
        bench
    }

    fn submit_request(&mut self) {
        self.next_id += 1;
        let random_bits = self.next_id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
        let rank = RANKS[(random_bits % 3) as usize];
        let request = AdmissionRequest {
            request_id: RequestId(self.next_id - 1),
            account: format!("account-{}", random_bits / 3 % self.accounts).parse().unwrap(),
            weight: 1,
            kind: rank.to_string().parse().unwrap(),
            rank,
            least_share_percent: 10,
            deadline: self.now + Duration::from_secs(3600 + random_bits % 1000),
            cost: Tokens(100 + random_bits % 1000),
        };
        self.queue.submit(self.now, request);
    }

    fn run_cycle(&mut self) {
        self.now += Duration::from_micros(200);
        let request_id = self.running.pop_front().unwrap();
        self.queue.finish(self.now, request_id, Tokens(500));
        for action in self.queue.next_actions(self.now) {
            if let QueueAction::Run(request_id) = action {
                self.running.push_back(request_id);
            }
        }
        self.submit_request();
    }
}

fn main() {
    divan::main();
}

/// Submits, queues, starts and finishes one request in the ranked queue.
#[divan::bench(args = SIZES)]
fn ranked(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Ranked::new(MAX_RUNNING, 20_000), accounts, waiting);
    bencher.bench_local(|| bench.run_cycle());
}

/// Submits, queues, starts and finishes one request in the FIFO queue.
#[divan::bench(args = SIZES)]
fn fifo(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Fifo::new(MAX_RUNNING), accounts, waiting);
    bencher.bench_local(|| bench.run_cycle());
}

/// Submits one request to a full queue, which refuses it.
#[divan::bench(args = SIZES)]
fn ranked_full(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Ranked::new(MAX_RUNNING, waiting as usize), accounts, waiting);
    bencher.bench_local(|| {
        bench.submit_request();
        bench.queue.next_actions(bench.now)
    });
}
