//! Runs a measurement: probe, load, sampling and report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use declare::Rank;

use crate::generator::{Generator, Sample, send_lag};
use crate::group::{Group, latency_histogram, tally};
use crate::plan::{extra_window, plan};
use crate::report::{Balance, Event, Report};
use crate::sampler::Sampler;
use crate::scenario::Scenario;
use crate::{Error, control, probe, score};

/// Fleet to measure, with the number of threads that send requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// Addresses on which the instances accept calls; requests go to them in round-robin order.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the operator interfaces of the instances.
    pub operators: Vec<SocketAddr>,
    /// Addresses of stand-in engines.
    pub stand_ins: Vec<SocketAddr>,
    /// Number of threads that send requests.
    pub threads: usize,
}

/// Offers the load of `scenario` to a running fleet and returns the report.
///
/// The script that drives the measurement describes what it does to the fleet in lines of `events`.
///
/// # Errors
///
/// Returns [`Error::InvalidValue`] if `target` has no instance or no stand-in,
/// [`Error::Unreachable`] if an instance does not respond before the load starts, and
/// [`Error::Thread`] if a thread cannot be started.
pub fn run(
    scenario: Scenario,
    target: &Target,
    seed: u64,
    events: &Receiver<String>,
) -> Result<Report, Error> {
    let (Some(caller), Some(stand_in)) = (target.callers.first(), target.stand_ins.first()) else {
        return Err(Error::InvalidValue {
            field: "addresses",
            problem: "the address of an instance or of a stand-in is missing".to_string(),
            help: "give at least one --caller and one --stand-in",
        });
    };
    let added = probe::probe(&scenario, *caller, *stand_in, seed)?;
    let scenario = Arc::new(scenario);
    let requests = plan(&scenario, seed);
    let started_at = Instant::now();
    let measurement_start = started_at + scenario.warm_up.as_duration();
    let sampler = Sampler::start(&target.stand_ins, started_at, measurement_start)?;
    let initial_traffic = control::read_traffic(&target.operators)?;
    let generator = Generator {
        scenario: scenario.clone(),
        callers: target.callers.clone(),
        threads: target.threads,
        started_at,
    };
    let mut samples = generator.run(requests)?;
    let control_rates = control::read_traffic(&target.operators)
        .map(|traffic| traffic.rates_since(&initial_traffic));
    let stand_in_samples = sampler.stop();
    samples.retain(|sample| sample.due_at >= measurement_start);
    let mut report = Report {
        scenario: scenario.name.clone(),
        seed,
        warm_up: scenario.warm_up.as_duration().as_secs_f64(),
        measured: scenario.duration.as_duration().as_secs_f64(),
        reuse: fraction(
            stand_in_samples.cached_blocks,
            stand_in_samples.cached_blocks + stand_in_samples.computed_blocks,
        ),
        balance: Balance::from_skews(&stand_in_samples.skews),
        skews: stand_in_samples.skews,
        control: control_rates.unwrap_or_default(),
        added,
        send_lag_p99: send_lag_p99(&samples)?,
        worth: worth_fraction(&scenario, &samples),
        events: events.try_iter().map(|text| parse_event(started_at, &text)).collect(),
        ..Report::default()
    };
    add_groups(&mut report, &scenario, started_at, &samples)?;
    report.scores = score::scores(&report);
    Ok(report)
}

/// Parses an event line: milliseconds since the Unix epoch, a space and a description.
///
/// A line without a time counts as happening now.
fn parse_event(started_at: Instant, line: &str) -> Event {
    let elapsed = started_at.elapsed().as_secs_f64();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.unwrap_or_default().as_secs_f64();
    match line.split_once(' ').and_then(|(millis, text)| Some((millis.parse::<f64>().ok()?, text)))
    {
        Some((millis, text)) => {
            Event { at: elapsed - (now - millis / 1000.0), text: text.to_string() }
        }
        None => Event { at: elapsed, text: line.to_string() },
    }
}

fn fraction(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator.max(1) as f64
}

/// Returns the 99th percentile of the send lag, in milliseconds.
fn send_lag_p99(samples: &[Sample]) -> Result<f64, Error> {
    let mut histogram = latency_histogram()?;
    for sample in samples {
        histogram.saturating_record(send_lag(sample).as_micros() as u64);
    }
    Ok(histogram.value_at_quantile(0.99) as f64 / 1000.0)
}

fn is_in_time(scenario: &Scenario, sample: &Sample) -> bool {
    let elapsed = sample.observation.ended_at.saturating_duration_since(sample.due_at);
    sample.observation.outcome == crate::Outcome::Answered && elapsed <= deadline(scenario, sample)
}

/// Returns the time from arrival to deadline of the request.
fn deadline(scenario: &Scenario, sample: &Sample) -> Duration {
    scenario.work[sample.request.work_index].deadline.as_duration()
}

/// Returns the fraction of the worth of the base load that was answered in time.
fn worth_fraction(scenario: &Scenario, samples: &[Sample]) -> f64 {
    let base = || samples.iter().filter(|sample| !sample.request.is_extra);
    let worth = |sample: &Sample| u64::from(scenario.work[sample.request.work_index].worth);
    let worth_in_time = base().filter(|sample| is_in_time(scenario, sample)).map(worth).sum();
    fraction(worth_in_time, base().map(worth).sum())
}

/// Adds the statistics by rank, of the extra load and by size of account to the report.
fn add_groups(
    report: &mut Report,
    scenario: &Scenario,
    started_at: Instant,
    samples: &[Sample],
) -> Result<(), Error> {
    let deadline = |sample: &Sample| deadline(scenario, sample);
    let rank = |sample: &Sample| scenario.work[sample.request.work_index].rank;
    let is_large = |sample: &Sample| scenario.accounts[sample.request.account_index].is_large;
    let is_base = |sample: &Sample| !sample.request.is_extra;
    let (start, end) = extra_window(scenario);
    let in_extra =
        |sample: &Sample| sample.due_at >= started_at + start && sample.due_at < started_at + end;
    for selected_rank in [Rank::Urgent, Rank::Normal, Rank::Deferrable] {
        let name = selected_rank.to_string();
        let has_rank = |sample: &Sample| is_base(sample) && rank(sample) == selected_rank;
        report.ranks.push(tally(&name, samples, deadline, has_rank)?);
        if scenario.extra.is_some() {
            let group: Group =
                tally(&name, samples, deadline, |sample| has_rank(sample) && in_extra(sample))?;
            report.ranks_in_extra.push(group);
        }
    }
    if scenario.extra.is_some() {
        report.extra = Some(tally("extra", samples, deadline, |sample| !is_base(sample))?);
    }
    report.small =
        tally("small accounts", samples, deadline, |sample| is_base(sample) && !is_large(sample))?;
    report.large = tally("large accounts", samples, deadline, is_large)?;
    Ok(())
}
