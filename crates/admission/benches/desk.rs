//! Cost of one decision at today's size and at the planned size.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use admission::{Desk, Fifo, Offer, Ranked, Step, Ticket, Tokens};
use declare::Rank;
use divan::Bencher;

const RANKS: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Deferrable];

const ROOM: u32 = 64;

/// Accounts and waiting requests at one desk: today's size, and the planned size.
const SIZES: [(u64, u64); 3] = [(10, 100), (5_700, 3_000), (5_700, 10_000)];

/// A saturated desk: each turn ends one request and offers another.
struct Bench<D> {
    desk: D,
    now: Instant,
    accounts: u64,
    next: u64,
    running: VecDeque<Ticket>,
}

impl<D> Bench<D>
where
    D: Desk,
{
    fn new(desk: D, accounts: u64, waiting: u64) -> Self {
        let mut bench =
            Self { desk, now: Instant::now(), accounts, next: 0, running: VecDeque::new() };
        for _ in 0..waiting + u64::from(ROOM) {
            bench.offer();
        }
        bench.running = (0..u64::from(ROOM)).map(Ticket).collect();
        bench
    }

    fn offer(&mut self) {
        self.next += 1;
        let mixed = self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
        let rank = RANKS[(mixed % 3) as usize];
        let offer = Offer {
            ticket: Ticket(self.next - 1),
            account: format!("account-{}", mixed / 3 % self.accounts).parse().unwrap(),
            weight: 1,
            kind: rank.to_string().parse().unwrap(),
            rank,
            least_share_percent: 10,
            deadline: self.now + Duration::from_secs(3600 + mixed % 1000),
            cost: Tokens(100 + mixed % 1000),
        };
        self.desk.offer(self.now, offer);
    }

    fn turn(&mut self) {
        self.now += Duration::from_micros(200);
        let ticket = self.running.pop_front().unwrap();
        self.desk.finish(self.now, ticket, Tokens(500));
        for step in self.desk.next(self.now) {
            if let Step::Run(ticket) = step {
                self.running.push_back(ticket);
            }
        }
        self.offer();
    }
}

fn main() {
    divan::main();
}

/// One request offered, queued, started and finished.
#[divan::bench(args = SIZES)]
fn ranked(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Ranked::new(ROOM, 20_000), accounts, waiting);
    bencher.bench_local(|| bench.turn());
}

/// The same at the baseline's desk.
#[divan::bench(args = SIZES)]
fn fifo(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Fifo::new(ROOM), accounts, waiting);
    bencher.bench_local(|| bench.turn());
}

/// One request refused by a full queue.
#[divan::bench(args = SIZES)]
fn ranked_full(bencher: Bencher<'_, '_>, (accounts, waiting): (u64, u64)) {
    let mut bench = Bench::new(Ranked::new(ROOM, waiting as usize), accounts, waiting);
    bencher.bench_local(|| {
        bench.offer();
        bench.desk.next(bench.now)
    });
}
