//! Report of a measurement, with its rendering as a text table.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::group::Group;
use crate::probe::Overhead;
use crate::sampler::Skew;

/// Event that the script driving the measurement caused in the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Event {
    /// Time of the event, in seconds from the start of the load.
    pub at: f64,
    /// Description of the event.
    pub text: String,
}

/// Balance of the load across upstreams.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Balance {
    /// Number of samples with enough load to compare.
    pub samples: usize,
    /// Greatest ratio of the load of the most loaded upstream to the mean.
    pub worst: f64,
    /// Mean of that ratio over the samples.
    pub mean: f64,
    /// Number of samples above the load bound of 1.25 times the mean, rounded up to a full request.
    pub above_bound: usize,
}

impl Balance {
    /// Computes the balance from samples of the load.
    pub fn from_skews(skews: &[Skew]) -> Self {
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

/// Weighted scores of a run for the two reference deployments, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Scores {
    /// Score that weights reuse of context and fairness to small accounts most.
    pub nasr: f64,
    /// Score that weights timely responses by rank, also during a flood, most.
    pub winterdienst: f64,
}

/// Result of one measurement.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed from which the load was drawn.
    pub seed: u64,
    /// Duration of the warm-up in seconds; its requests are not counted.
    pub warm_up: f64,
    /// Duration of the measurement, in seconds.
    pub measured: f64,
    /// Statistics of the base load by rank.
    pub ranks: Vec<Group>,
    /// Statistics of the base load by rank while the extra load was offered; empty without one.
    pub ranks_in_extra: Vec<Group>,
    /// Statistics of the extra load, if the scenario has one.
    pub extra: Option<Group>,
    /// Statistics of the base load of small accounts.
    pub small: Group,
    /// Statistics of all load of large accounts.
    pub large: Group,
    /// Fraction of the worth of the base load that was answered in time.
    pub worth: f64,
    /// Fraction of the prompt blocks that were found in prefix caches.
    pub reuse: f64,
    /// Balance of the load across upstreams.
    pub balance: Balance,
    /// Control traffic in bytes per second and instance, by slice.
    pub control: BTreeMap<String, f64>,
    /// Time to the first token through an instance and of direct calls, without load.
    pub added: Overhead,
    /// 99th percentile of the delay between planned arrival and sending, in milliseconds.
    pub send_lag_p99: f64,
    /// Events that the script driving the measurement caused.
    pub events: Vec<Event>,
    /// Weighted scores of the run.
    pub scores: Scores,
    /// Samples of the load on upstreams, for plots.
    #[serde(skip)]
    pub skews: Vec<Skew>,
}

impl Report {
    /// Returns the report as a text table.
    pub fn table(&self) -> String {
        let mut output = String::new();
        let title = format!(
            "scenario {}, seed {}, warm-up {:.0} s not counted, measured {:.0} s",
            self.scenario, self.seed, self.warm_up, self.measured
        );
        push_line(&mut output, &title);
        push_line(&mut output, "");
        push_line(&mut output, &header_row());
        self.ranks.iter().for_each(|group| push_line(&mut output, &group_row("", group)));
        self.ranks_in_extra
            .iter()
            .for_each(|group| push_line(&mut output, &group_row("in extra: ", group)));
        self.extra.iter().for_each(|group| push_line(&mut output, &group_row("", group)));
        push_line(&mut output, &group_row("", &self.small));
        push_line(&mut output, &group_row("", &self.large));
        push_line(&mut output, "");
        self.summary_lines().iter().for_each(|text| push_line(&mut output, text));
        output
    }

    fn summary_lines(&self) -> Vec<String> {
        let balance = &self.balance;
        let control_rate: f64 = self.control.values().sum();
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
            format!("control B/s/instance    {control_rate:.0}"),
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

fn push_line(output: &mut String, text: &str) {
    let _ = writeln!(output, "{text}");
}

fn header_row() -> String {
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

fn group_row(prefix: &str, group: &Group) -> String {
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
