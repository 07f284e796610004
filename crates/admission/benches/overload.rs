//! Trial of desks on one upstream in an overload, in model time: what each rank and account gets.
//!
//! Prints a table for seeds 1 to 5. It measures decisions, not speed.

#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use admission::{Choice, Decision, Desk, Offer, Step, Ticket, Tokens};
use declare::Rank;

const ROOM: u32 = 20;
const MILLIS_PER_TOKEN: u64 = 10;
const SEEDS: u64 = 5;
const END: Duration = Duration::from_secs(60);

/// A kind of work in the load.
struct Work {
    rank: Rank,
    per_second: f64,
    cost: u64,
    patience: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Overload {
    Deferrable,
    Urgent,
    Account,
    None,
}

/// What the desk is told less of, to see what that part of its decision is worth.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Desks {
    Ranked,
    WithoutShares,
    WithoutAccounts,
    WithoutDeadlines,
    Fifo,
}

impl Desks {
    fn name(self) -> &'static str {
        match self {
            Self::Ranked => "ranked",
            Self::WithoutShares => "no least shares",
            Self::WithoutAccounts => "no accounts",
            Self::WithoutDeadlines => "no deadlines",
            Self::Fifo => "fifo",
        }
    }

    fn desk(self) -> Box<dyn Desk> {
        let choice = if self == Self::Fifo { Choice::Fifo } else { Choice::Ranked };
        choice.desk(ROOM, 1024)
    }

    fn told(self, offer: &Offer) -> Offer {
        let mut offer = offer.clone();
        match self {
            Self::WithoutShares => offer.least_share_percent = 0,
            Self::WithoutAccounts => offer.account = "all".parse().unwrap(),
            Self::WithoutDeadlines => offer.deadline += Duration::from_secs(3600),
            Self::Ranked | Self::Fifo => {}
        }
        offer
    }
}

struct Generator(u64);

impl Generator {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        ((self.0 >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    fn gap(&mut self, per_second: f64) -> Duration {
        Duration::from_secs_f64(-self.uniform().ln() / per_second)
    }
}

#[derive(Clone)]
struct Planned {
    at: Duration,
    offer: Offer,
}

struct Outcome {
    offered: u64,
    in_time: u64,
}

fn works(overload: Overload) -> [Work; 3] {
    // The upstream serves 2,000 tokens a second; the base load is 60 % of that.
    let mut works = [
        Work { rank: Rank::Urgent, per_second: 5.0, cost: 100, patience: Duration::from_secs(3) },
        Work { rank: Rank::Normal, per_second: 2.0, cost: 240, patience: Duration::from_secs(8) },
        Work {
            rank: Rank::Deferrable,
            per_second: 2.2,
            cost: 100,
            patience: Duration::from_secs(8),
        },
    ];
    match overload {
        Overload::Deferrable => works[2].per_second += 100.0,
        Overload::Urgent => works[0].per_second += 100.0,
        Overload::Account | Overload::None => {}
    }
    works
}

fn plan(overload: Overload, seed: u64, start: Instant) -> Vec<Planned> {
    let mut generator = Generator(seed);
    let mut all = Vec::new();
    for work in works(overload) {
        let mut at = generator.gap(work.per_second);
        while at < END {
            let account = format!("account-{}", (generator.uniform() * 10.0) as u64);
            all.push(planned(&work, at, account, start));
            at += generator.gap(work.per_second);
        }
    }
    if overload == Overload::Account {
        // One account of ten asks twenty times its share of the base load.
        let work = &works(overload)[0];
        let mut at = Duration::ZERO;
        while at < END {
            at += generator.gap(0.1 * 9.2 * 19.0);
            all.push(planned(work, at, "account-0".to_string(), start));
        }
    }
    all.sort_by_key(|planned| planned.at);
    for (number, planned) in all.iter_mut().enumerate() {
        planned.offer.ticket = Ticket(number as u64);
    }
    all
}

fn planned(work: &Work, at: Duration, account: String, start: Instant) -> Planned {
    let share = if work.rank == Rank::Normal { 20 } else { 10 };
    let offer = Offer {
        ticket: Ticket(0),
        account: account.parse().unwrap(),
        weight: 1,
        kind: work.rank.to_string().parse().unwrap(),
        rank: work.rank,
        least_share_percent: share,
        deadline: start + at + work.patience,
        cost: Tokens(work.cost),
    };
    Planned { at, offer }
}

/// Runs the load through a desk; when each offer was answered, if it was.
fn drive(desks: Desks, plan: &[Planned], start: Instant) -> Vec<Option<Instant>> {
    let mut desk = desks.desk();
    let mut answered = vec![None; plan.len()];
    let mut running: Vec<(Instant, Ticket)> = Vec::new();
    let mut arrivals = plan.iter().peekable();
    loop {
        let first_end = running.iter().min().copied();
        let first_arrival = arrivals.peek().map(|planned| start + planned.at);
        let (now, ends) = match (first_end, first_arrival) {
            (Some((end, _)), Some(arrival)) if end <= arrival => (end, true),
            (Some((end, _)), None) => (end, true),
            (_, Some(arrival)) => (arrival, false),
            (None, None) => return answered,
        };
        if ends {
            let (end, ticket) = first_end.unwrap();
            running.retain(|(_, other)| *other != ticket);
            let offer = &plan[ticket.0 as usize].offer;
            answered[ticket.0 as usize] = Some(end);
            desk.finish(now, ticket, offer.cost);
        } else if let Some(planned) = arrivals.next()
            && desk.offer(now, desks.told(&planned.offer)) == Decision::Run
        {
            running.push(run(now, plan, planned.offer.ticket));
        }
        for step in desk.next(now) {
            if let Step::Run(ticket) = step {
                running.push(run(now, plan, ticket));
            }
        }
    }
}

fn run(now: Instant, plan: &[Planned], ticket: Ticket) -> (Instant, Ticket) {
    let cost = plan[ticket.0 as usize].offer.cost.0;
    (now + Duration::from_millis(cost * MILLIS_PER_TOKEN), ticket)
}

fn count<F>(plan: &[Planned], answered: &[Option<Instant>], is_counted: F) -> Outcome
where
    F: Fn(&Offer) -> bool,
{
    let of = plan.iter().zip(answered).filter(|(planned, _)| is_counted(&planned.offer));
    let (mut offered, mut in_time) = (0, 0);
    for (planned, answered) in of {
        offered += 1;
        in_time += u64::from(answered.is_some_and(|end| end <= planned.offer.deadline));
    }
    Outcome { offered, in_time }
}

fn percent(outcome: &Outcome) -> f64 {
    100.0 * outcome.in_time as f64 / outcome.offered.max(1) as f64
}

/// The 95th percentile of urgent requests of the other accounts, in milliseconds.
fn p95(desks: Desks, overload: Overload, seed: u64) -> f64 {
    let start = Instant::now();
    let plan = plan(overload, seed, start);
    let answered = drive(desks, &plan, start);
    let mut millis: Vec<f64> = plan
        .iter()
        .zip(answered)
        .filter(|(planned, _)| planned.offer.rank == Rank::Urgent)
        .filter(|(planned, _)| planned.offer.account.as_str() != "account-0")
        .filter_map(|(planned, end)| Some(end? - (start + planned.at)))
        .map(|elapsed| elapsed.as_secs_f64() * 1000.0)
        .collect();
    millis.sort_by(f64::total_cmp);
    millis.get(millis.len() * 95 / 100).copied().unwrap_or_default()
}

/// How many times the quiet run's the p95 of other accounts is.
fn p95_row(desks: Desks) {
    let ratio = |seed| p95(desks, Overload::Account, seed) / p95(desks, Overload::None, seed);
    let mut ratios: Vec<f64> = (1..=SEEDS).map(ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let (name, desk) = ("p95 of the others / quiet run", desks.name());
    println!("{name:<30}{desk:<18}{:>8.2}{:>8.2}{:>8.2}", ratios[0], ratios[2], ratios[4]);
}

fn row(name: &str, desks: Desks, overload: Overload, is_counted: impl Fn(&Offer) -> bool) {
    let mut percents: Vec<f64> = (1..=SEEDS)
        .map(|seed| {
            let start = Instant::now();
            let plan = plan(overload, seed, start);
            let answered = drive(desks, &plan, start);
            percent(&count(&plan, &answered, &is_counted))
        })
        .collect();
    percents.sort_by(f64::total_cmp);
    let (least, median, most) = (percents[0], percents[2], percents[4]);
    let desk = desks.name();
    println!("{name:<30}{desk:<18}{least:>8.1}{median:>8.1}{most:>8.1}");
}

fn main() {
    println!("{:<30}{:<18}{:>8}{:>8}{:>8}", "in time, percent", "desk", "min", "median", "max");
    for overload in [Overload::Deferrable, Overload::Urgent, Overload::Account] {
        for desks in [
            Desks::Ranked,
            Desks::WithoutShares,
            Desks::WithoutAccounts,
            Desks::WithoutDeadlines,
            Desks::Fifo,
        ] {
            rows(desks, overload);
        }
    }
}

fn rows(desks: Desks, overload: Overload) {
    let flood = match overload {
        Overload::Deferrable => "deferrable flood",
        Overload::Urgent => "urgent flood",
        Overload::Account => {
            row("one account 20x: the others", desks, overload, |offer| {
                offer.account.as_str() != "account-0"
            });
            row("one account 20x: itself", desks, overload, |offer| {
                offer.account.as_str() == "account-0"
            });
            p95_row(desks);
            return;
        }
        Overload::None => return,
    };
    for rank in [Rank::Urgent, Rank::Normal, Rank::Deferrable] {
        row(&format!("{flood}: {rank}"), desks, overload, |offer| offer.rank == rank);
    }
}
