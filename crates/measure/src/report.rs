//! The table that a measurement ends with.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::group::Group;
use crate::probe::Added;
use crate::sampler::Skew;

/// Something that the driving script did to the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Event {
    /// Seconds from the start of the load.
    pub at: f64,
    /// What happened.
    pub text: String,
}

/// How evenly the upstreams were loaded.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Balance {
    /// Samples with enough load to compare.
    pub samples: usize,
    /// Greatest ratio of the most loaded to the mean.
    pub worst: f64,
    /// Mean ratio.
    pub mean: f64,
    /// Samples above the bound of 1.25 times the mean, rounded up to a whole request.
    pub above_bound: usize,
}

impl Balance {
    /// The balance over `skews`.
    pub fn of(skews: &[Skew]) -> Self {
        let ratios: Vec<f64> = skews.iter().filter_map(Skew::ratio).collect();
        let loaded = skews.iter().filter(|skew| skew.ratio().is_some());
        Self {
            samples: ratios.len(),
            worst: ratios.iter().copied().fold(0.0, f64::max),
            mean: ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
            above_bound: loaded.filter(|skew| !skew.is_within_bound()).count(),
        }
    }
}

/// The scores by which the two users weigh a run, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Scores {
    /// Reuse of context and fairness to small accounts first.
    pub nasr: f64,
    /// Service by rank and the flood first.
    pub winterdienst: f64,
}

/// The outcome of one measurement.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the load.
    pub seed: u64,
    /// Seconds of warm-up, which nothing below counts.
    pub warm_up: f64,
    /// Seconds that were measured.
    pub measured: f64,
    /// Base load by rank.
    pub ranks: Vec<Group>,
    /// Base load by rank while the extra load was offered.
    pub ranks_in_extra: Vec<Group>,
    /// The extra load.
    pub extra: Option<Group>,
    /// Base load of small accounts.
    pub small: Group,
    /// All load of large accounts.
    pub large: Group,
    /// Part of the worth of the base load that was answered in time.
    pub worth: f64,
    /// Part of the context that was found in caches.
    pub reuse: f64,
    /// How evenly the upstreams were loaded.
    pub balance: Balance,
    /// Control bytes a second and instance by slice.
    pub control: BTreeMap<String, f64>,
    /// What the relay adds to the first token.
    pub added: Added,
    /// 99th percentile of how late requests were sent by this tool, in milliseconds.
    pub send_lag_p99: f64,
    /// What the driving script did.
    pub events: Vec<Event>,
    /// The users' scores.
    pub scores: Scores,
    /// The samples of load, for plots.
    #[serde(skip)]
    pub skews: Vec<Skew>,
}

impl Report {
    /// The report as text.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let title = format!(
            "scenario {}, seed {}, warm-up {:.0} s not counted, measured {:.0} s",
            self.scenario, self.seed, self.warm_up, self.measured
        );
        line(&mut out, &title);
        line(&mut out, "");
        line(&mut out, &header());
        self.ranks.iter().for_each(|group| line(&mut out, &row("", group)));
        self.ranks_in_extra.iter().for_each(|group| line(&mut out, &row("in extra: ", group)));
        self.extra.iter().for_each(|group| line(&mut out, &row("", group)));
        line(&mut out, &row("", &self.small));
        line(&mut out, &row("", &self.large));
        line(&mut out, "");
        self.lines().iter().for_each(|text| line(&mut out, text));
        out
    }

    fn lines(&self) -> Vec<String> {
        let balance = &self.balance;
        let control: f64 = self.control.values().sum();
        let mut lines = vec![
            format!("worth answered in time  {:.3}", self.worth),
            format!("context reused          {:.3}", self.reuse),
            format!(
                "load max/mean           worst {:.2}, mean {:.2}, above bound in {} of {} samples",
                balance.worst, balance.mean, balance.above_bound, balance.samples
            ),
            format!(
                "added to first token    p50 {} us, p99 {} us (direct p99 {} us)",
                self.added.p50(),
                self.added.p99(),
                self.added.direct_p99
            ),
            format!("control bytes/s a node  {control:.0}"),
        ];
        for (slice, rate) in self.control.iter().filter(|(_, rate)| **rate > 0.0) {
            lines.push(format!("  {slice:<21} {rate:.0}"));
        }
        lines.push(format!("send lag p99            {:.1} ms", self.send_lag_p99));
        lines.push(format!(
            "scores                  nasr {:.3}, winterdienst {:.3}",
            self.scores.nasr, self.scores.winterdienst
        ));
        lines
            .extend(self.events.iter().map(|event| format!("{:>8.1} s  {}", event.at, event.text)));
        lines
    }
}

fn line(out: &mut String, text: &str) {
    let _ = writeln!(out, "{text}");
}

fn header() -> String {
    format!(
        "{:<24}{:>8}{:>9}{:>7}{:>9}{:>8}{:>11}{:>11}{:>11}",
        "group",
        "offered",
        "in time",
        "late",
        "refused",
        "failed",
        "ttft p50",
        "ttft p95",
        "p95 ms"
    )
}

fn row(prefix: &str, group: &Group) -> String {
    format!(
        "{:<24}{:>8}{:>8.1}%{:>7}{:>9}{:>8}{:>11.1}{:>11.1}{:>11.1}",
        format!("{prefix}{}", group.name),
        group.offered,
        100.0 * group.in_time_share(),
        group.late,
        group.refused,
        group.failed,
        group.first_token_p50,
        group.first_token_p95,
        group.whole_p95
    )
}
