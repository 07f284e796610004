//! A whole measurement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use declare::Rank;

use crate::group::{Group, gather, histogram};
use crate::load::{Load, Sample, send_lag};
use crate::plan::{extra_window, plan};
use crate::report::{Balance, Event, Report};
use crate::sampler::Sampler;
use crate::scenario::Scenario;
use crate::{Error, control, probe, score};

/// What is measured.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Callers' addresses of the instances, which requests go to in turn.
    pub callers: Vec<SocketAddr>,
    /// Operators' addresses of the instances.
    pub operators: Vec<SocketAddr>,
    /// Addresses of stand-in engines.
    pub stand_ins: Vec<SocketAddr>,
    /// Threads that send requests.
    pub threads: usize,
}

/// Offers the load of `scenario` to a running fleet. Lines of `events` tell what the driving
/// script does meanwhile.
///
/// # Errors
///
/// [`Error::Unreachable`] when the fleet does not answer.
pub fn run(
    scenario: Scenario,
    subject: &Subject,
    seed: u64,
    events: &Receiver<String>,
) -> Result<Report, Error> {
    let (Some(caller), Some(stand_in)) = (subject.callers.first(), subject.stand_ins.first())
    else {
        return Err(Error::Value {
            field: "addresses",
            problem: "there is no instance or no stand-in".to_string(),
            help: "give at least one --caller and one --stand-in",
        });
    };
    let added = probe::probe(&scenario, *caller, *stand_in, seed)?;
    let scenario = Arc::new(scenario);
    let requests = plan(&scenario, seed);
    let started = Instant::now();
    let measured_from = started + scenario.warm_up.as_duration();
    let sampler = Sampler::start(&subject.stand_ins, started, measured_from)?;
    let traffic = control::read(&subject.operators)?;
    let load = Load {
        scenario: scenario.clone(),
        callers: subject.callers.clone(),
        threads: subject.threads,
        started,
    };
    let mut samples = load.run(requests)?;
    let control = control::read(&subject.operators).map(|now| now.since(&traffic));
    let sampled = sampler.stop();
    samples.retain(|sample| sample.due >= measured_from);
    let mut report = Report {
        scenario: scenario.name.clone(),
        seed,
        warm_up: scenario.warm_up.as_duration().as_secs_f64(),
        measured: scenario.duration.as_duration().as_secs_f64(),
        reuse: share(sampled.cached_blocks, sampled.cached_blocks + sampled.computed_blocks),
        balance: Balance::of(&sampled.skews),
        skews: sampled.skews,
        control: control.unwrap_or_default(),
        added,
        send_lag_p99: send_lag_p99(&samples)?,
        worth: worth(&scenario, &samples),
        events: events.try_iter().map(|text| event(started, &text)).collect(),
        ..Report::default()
    };
    fill_groups(&mut report, &scenario, started, &samples)?;
    report.scores = score::scores(&report);
    Ok(report)
}

/// An event line: milliseconds since the epoch of the system's clock, then what happened.
fn event(started: Instant, line: &str) -> Event {
    let elapsed = started.elapsed().as_secs_f64();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.unwrap_or_default().as_secs_f64();
    match line.split_once(' ').and_then(|(at, text)| Some((at.parse::<f64>().ok()?, text))) {
        Some((millis, text)) => {
            Event { at: elapsed - (now - millis / 1000.0), text: text.to_string() }
        }
        None => Event { at: elapsed, text: line.to_string() },
    }
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn send_lag_p99(samples: &[Sample]) -> Result<f64, Error> {
    let mut histogram = histogram()?;
    for sample in samples {
        histogram.saturating_record(send_lag(sample).as_micros() as u64);
    }
    Ok(histogram.value_at_quantile(0.99) as f64 / 1000.0)
}

fn is_in_time(scenario: &Scenario, sample: &Sample) -> bool {
    let elapsed = sample.seen.ended.saturating_duration_since(sample.due);
    sample.seen.end == crate::End::Answered && elapsed <= deadline(scenario, sample)
}

fn deadline(scenario: &Scenario, sample: &Sample) -> Duration {
    scenario.work[sample.request.work].deadline.as_duration()
}

/// Part of the worth of the base load that was answered in time.
fn worth(scenario: &Scenario, samples: &[Sample]) -> f64 {
    let base = || samples.iter().filter(|sample| !sample.request.is_extra);
    let worth = |sample: &Sample| u64::from(scenario.work[sample.request.work].worth);
    let earned = base().filter(|sample| is_in_time(scenario, sample)).map(worth).sum();
    share(earned, base().map(worth).sum())
}

fn fill_groups(
    report: &mut Report,
    scenario: &Scenario,
    started: Instant,
    samples: &[Sample],
) -> Result<(), Error> {
    let deadline = |sample: &Sample| deadline(scenario, sample);
    let rank = |sample: &Sample| scenario.work[sample.request.work].rank;
    let is_large = |sample: &Sample| scenario.accounts[sample.request.account].is_large;
    let is_base = |sample: &Sample| !sample.request.is_extra;
    let (start, end) = extra_window(scenario);
    let in_extra = |sample: &Sample| sample.due >= started + start && sample.due < started + end;
    for wanted in [Rank::Urgent, Rank::Normal, Rank::Deferrable] {
        let name = wanted.to_string();
        let of_rank = |sample: &Sample| is_base(sample) && rank(sample) == wanted;
        report.ranks.push(gather(&name, samples, deadline, of_rank)?);
        if scenario.extra.is_some() {
            let group: Group =
                gather(&name, samples, deadline, |sample| of_rank(sample) && in_extra(sample))?;
            report.ranks_in_extra.push(group);
        }
    }
    if scenario.extra.is_some() {
        report.extra = Some(gather("extra", samples, deadline, |sample| !is_base(sample))?);
    }
    report.small =
        gather("small accounts", samples, deadline, |sample| is_base(sample) && !is_large(sample))?;
    report.large = gather("large accounts", samples, deadline, is_large)?;
    Ok(())
}
