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
        Overload::Account => {}
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

/// Runs the load through a desk; true for each offer that was answered in time.
fn drive(desk: &mut dyn Desk, plan: &[Planned], start: Instant) -> Vec<bool> {
    let mut answered = vec![false; plan.len()];
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
            answered[ticket.0 as usize] = end <= offer.deadline;
            desk.finish(now, ticket, offer.cost);
        } else if let Some(planned) = arrivals.next()
            && desk.offer(now, planned.offer.clone()) == Decision::Run
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

fn count<F>(plan: &[Planned], answered: &[bool], is_counted: F) -> Outcome
where
    F: Fn(&Offer) -> bool,
{
    let of = plan.iter().zip(answered).filter(|(planned, _)| is_counted(&planned.offer));
    let (mut offered, mut in_time) = (0, 0);
    for (_, answered) in of {
        offered += 1;
        in_time += u64::from(*answered);
    }
    Outcome { offered, in_time }
}

fn percent(outcome: &Outcome) -> f64 {
    100.0 * outcome.in_time as f64 / outcome.offered.max(1) as f64
}

fn row(name: &str, choice: Choice, overload: Overload, is_counted: impl Fn(&Offer) -> bool) {
    let mut percents: Vec<f64> = (1..=SEEDS)
        .map(|seed| {
            let start = Instant::now();
            let plan = plan(overload, seed, start);
            let mut desk = choice.desk(ROOM, 1024);
            let answered = drive(desk.as_mut(), &plan, start);
            percent(&count(&plan, &answered, &is_counted))
        })
        .collect();
    percents.sort_by(f64::total_cmp);
    let (least, median, most) = (percents[0], percents[2], percents[4]);
    println!("{name:<34}{choice:<8}{least:>8.1}{median:>8.1}{most:>8.1}");
}

fn main() {
    println!("{:<34}{:<8}{:>8}{:>8}{:>8}", "in time, percent", "desk", "min", "median", "max");
    for choice in [Choice::Ranked, Choice::Fifo] {
        for (flood, overload) in
            [("deferrable flood", Overload::Deferrable), ("urgent flood", Overload::Urgent)]
        {
            for rank in [Rank::Urgent, Rank::Normal, Rank::Deferrable] {
                row(&format!("{flood}: {rank}"), choice, overload, |offer| offer.rank == rank);
            }
        }
        row("one account 20x: the others", choice, Overload::Account, |offer| {
            offer.account.as_str() != "account-0"
        });
        row("one account 20x: itself", choice, Overload::Account, |offer| {
            offer.account.as_str() == "account-0"
        });
    }
}
