//! Simulation of admission queues on one overloaded upstream in virtual time.
//!
//! Prints a table of the requests that each rank and account gets served in time, for seeds 1 to 5.
//! The simulation measures decisions, not speed.

#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use admission::{
    AdmissionPolicy, AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens,
};
use declare::Rank;

const MAX_RUNNING: u32 = 20;
const MILLIS_PER_TOKEN: u64 = 10;
const SEEDS: u64 = 5;
const DURATION: Duration = Duration::from_secs(60);

/// Kind of work in the load.
struct Workload {
    rank: Rank,
    per_second: f64,
    cost: u64,
    timeout: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Overload {
    Deferrable,
    Urgent,
    Account,
    None,
}

/// Admission queue under test. The variants without a feature hide the data of that feature from
/// the queue, to measure its effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Ranked,
    WithoutShares,
    WithoutAccounts,
    WithoutDeadlines,
    Fifo,
}

impl Variant {
    fn name(self) -> &'static str {
        match self {
            Self::Ranked => "ranked",
            Self::WithoutShares => "no minimum shares",
            Self::WithoutAccounts => "no accounts",
            Self::WithoutDeadlines => "no deadlines",
            Self::Fifo => "fifo",
        }
    }

    fn create(self) -> Box<dyn AdmissionQueue> {
        let policy =
            if self == Self::Fifo { AdmissionPolicy::Fifo } else { AdmissionPolicy::Ranked };
        policy.create_queue(MAX_RUNNING, 1024)
    }

    fn visible_request(self, request: &AdmissionRequest) -> AdmissionRequest {
        let mut request = request.clone();
        match self {
            Self::WithoutShares => request.least_share_percent = 0,
            Self::WithoutAccounts => request.account = "all".parse().unwrap(),
            Self::WithoutDeadlines => request.deadline += Duration::from_secs(3600),
            Self::Ranked | Self::Fifo => {}
        }
        request
    }
}

struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        ((self.0 >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    fn interval(&mut self, per_second: f64) -> Duration {
        Duration::from_secs_f64(-self.uniform().ln() / per_second)
    }
}

#[derive(Clone)]
struct PlannedRequest {
    arrives_at: Duration,
    request: AdmissionRequest,
}

struct Outcome {
    submitted: u64,
    in_time: u64,
}

fn workloads(overload: Overload) -> [Workload; 3] {
    // The upstream serves 2,000 tokens per second. The base load is 60 % of this capacity.
    let mut workloads = [
        Workload {
            rank: Rank::Urgent,
            per_second: 5.0,
            cost: 100,
            timeout: Duration::from_secs(3),
        },
        Workload {
            rank: Rank::Normal,
            per_second: 2.0,
            cost: 240,
            timeout: Duration::from_secs(8),
        },
        Workload {
            rank: Rank::Deferrable,
            per_second: 2.2,
            cost: 100,
            timeout: Duration::from_secs(8),
        },
    ];
    match overload {
        Overload::Deferrable => workloads[2].per_second += 100.0,
        Overload::Urgent => workloads[0].per_second += 100.0,
        Overload::Account | Overload::None => {}
    }
    workloads
}

fn plan(overload: Overload, seed: u64, start: Instant) -> Vec<PlannedRequest> {
    let mut random = Random(seed);
    let mut all = Vec::new();
    for workload in workloads(overload) {
        let mut arrives_at = random.interval(workload.per_second);
        while arrives_at < DURATION {
            let account = format!("account-{}", (random.uniform() * 10.0) as u64);
            all.push(planned_request(&workload, arrives_at, account, start));
            arrives_at += random.interval(workload.per_second);
        }
    }
    if overload == Overload::Account {
        // One of ten accounts sends twenty times its share of the base load.
        let workload = &workloads(overload)[0];
        let mut arrives_at = Duration::ZERO;
        while arrives_at < DURATION {
            arrives_at += random.interval(0.1 * 9.2 * 19.0);
            all.push(planned_request(workload, arrives_at, "account-0".to_string(), start));
        }
    }
    all.sort_by_key(|planned| planned.arrives_at);
    for (number, planned) in all.iter_mut().enumerate() {
        planned.request.request_id = RequestId(number as u64);
    }
    all
}

fn planned_request(
    workload: &Workload,
    arrives_at: Duration,
    account: String,
    start: Instant,
) -> PlannedRequest {
    let share = if workload.rank == Rank::Normal { 20 } else { 10 };
    let request = AdmissionRequest {
        request_id: RequestId(0),
        account: account.parse().unwrap(),
        weight: 1,
        kind: workload.rank.to_string().parse().unwrap(),
        rank: workload.rank,
        least_share_percent: share,
        deadline: start + arrives_at + workload.timeout,
        cost: Tokens(workload.cost),
    };
    PlannedRequest { arrives_at, request }
}

/// Runs the load through an admission queue. Returns the time at which each request completed, or
/// none for a refused request.
fn simulate(variant: Variant, plan: &[PlannedRequest], start: Instant) -> Vec<Option<Instant>> {
    let mut queue = variant.create();
    let mut completed = vec![None; plan.len()];
    let mut running: Vec<(Instant, RequestId)> = Vec::new();
    let mut arrivals = plan.iter().peekable();
    loop {
        let first_end = running.iter().min().copied();
        let first_arrival = arrivals.peek().map(|planned| start + planned.arrives_at);
        let (now, ends) = match (first_end, first_arrival) {
            (Some((end, _)), Some(arrival)) if end <= arrival => (end, true),
            (Some((end, _)), None) => (end, true),
            (_, Some(arrival)) => (arrival, false),
            (None, None) => return completed,
        };
        if ends {
            let (end, request_id) = first_end.unwrap();
            running.retain(|(_, other)| *other != request_id);
            let request = &plan[request_id.0 as usize].request;
            completed[request_id.0 as usize] = Some(end);
            queue.finish(now, request_id, request.cost);
        } else if let Some(planned) = arrivals.next()
            && queue.submit(now, variant.visible_request(&planned.request)) == Decision::Run
        {
            running.push(run(now, plan, planned.request.request_id));
        }
        for action in queue.next_actions(now) {
            if let QueueAction::Run(request_id) = action {
                running.push(run(now, plan, request_id));
            }
        }
    }
}

fn run(now: Instant, plan: &[PlannedRequest], request_id: RequestId) -> (Instant, RequestId) {
    let cost = plan[request_id.0 as usize].request.cost.0;
    (now + Duration::from_millis(cost * MILLIS_PER_TOKEN), request_id)
}

fn count<F>(plan: &[PlannedRequest], completed: &[Option<Instant>], is_counted: F) -> Outcome
where
    F: Fn(&AdmissionRequest) -> bool,
{
    let counted = plan.iter().zip(completed).filter(|(planned, _)| is_counted(&planned.request));
    let (mut submitted, mut in_time) = (0, 0);
    for (planned, completed) in counted {
        submitted += 1;
        in_time += u64::from(completed.is_some_and(|end| end <= planned.request.deadline));
    }
    Outcome { submitted, in_time }
}

fn percent(outcome: &Outcome) -> f64 {
    100.0 * outcome.in_time as f64 / outcome.submitted.max(1) as f64
}

/// Returns the 95th percentile latency of urgent requests of the other accounts in milliseconds.
fn p95(variant: Variant, overload: Overload, seed: u64) -> f64 {
    let start = Instant::now();
    let plan = plan(overload, seed, start);
    let completed = simulate(variant, &plan, start);
    let mut millis: Vec<f64> = plan
        .iter()
        .zip(completed)
        .filter(|(planned, _)| planned.request.rank == Rank::Urgent)
        .filter(|(planned, _)| planned.request.account.as_str() != "account-0")
        .filter_map(|(planned, end)| Some(end? - (start + planned.arrives_at)))
        .map(|elapsed| elapsed.as_secs_f64() * 1000.0)
        .collect();
    millis.sort_by(f64::total_cmp);
    millis.get(millis.len() * 95 / 100).copied().unwrap_or_default()
}

/// Prints the ratio of the other accounts' 95th percentile latency to that of a run without
/// overload.
fn print_p95_row(variant: Variant) {
    let ratio = |seed| p95(variant, Overload::Account, seed) / p95(variant, Overload::None, seed);
    let mut ratios: Vec<f64> = (1..=SEEDS).map(ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let (name, queue) = ("p95 of the others / no overload", variant.name());
    println!("{name:<30}{queue:<18}{:>8.2}{:>8.2}{:>8.2}", ratios[0], ratios[2], ratios[4]);
}

fn print_row(
    name: &str,
    variant: Variant,
    overload: Overload,
    is_counted: impl Fn(&AdmissionRequest) -> bool,
) {
    let mut percents: Vec<f64> = (1..=SEEDS)
        .map(|seed| {
            let start = Instant::now();
            let plan = plan(overload, seed, start);
            let completed = simulate(variant, &plan, start);
            percent(&count(&plan, &completed, &is_counted))
        })
        .collect();
    percents.sort_by(f64::total_cmp);
    let (least, median, most) = (percents[0], percents[2], percents[4]);
    let queue = variant.name();
    println!("{name:<30}{queue:<18}{least:>8.1}{median:>8.1}{most:>8.1}");
}

fn main() {
    println!("{:<30}{:<18}{:>8}{:>8}{:>8}", "in time, percent", "queue", "min", "median", "max");
    for overload in [Overload::Deferrable, Overload::Urgent, Overload::Account] {
        for variant in [
            Variant::Ranked,
            Variant::WithoutShares,
            Variant::WithoutAccounts,
            Variant::WithoutDeadlines,
            Variant::Fifo,
        ] {
            print_rows(variant, overload);
        }
    }
}

fn print_rows(variant: Variant, overload: Overload) {
    let load = match overload {
        Overload::Deferrable => "deferrable overload",
        Overload::Urgent => "urgent overload",
        Overload::Account => {
            print_row("one account 20x: the others", variant, overload, |request| {
                request.account.as_str() != "account-0"
            });
            print_row("one account 20x: itself", variant, overload, |request| {
                request.account.as_str() == "account-0"
            });
            print_p95_row(variant);
            return;
        }
        Overload::None => return,
    };
    for rank in [Rank::Urgent, Rank::Normal, Rank::Deferrable] {
        print_row(&format!("{load}: {rank}"), variant, overload, |request| request.rank == rank);
    }
}
