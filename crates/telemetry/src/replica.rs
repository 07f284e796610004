//! Metrics of the replicated log.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answers::seconds;

/// Labels of a proposal that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProposalLabels {
    outcome: String,
}

/// Outcomes that are shown at zero from the start.
const SHOWN_OUTCOMES: [&str; 3] = ["applied", "not-run", "unknown"];

/// Metrics of the replicated log at one instance.
pub struct ReplicaMetrics {
    /// The newest term seen.
    pub term: Gauge,
    /// 1 while this instance leads.
    pub is_leader: Gauge,
    /// 1 while this instance votes.
    pub is_voting: Gauge,
    /// Time from a write to its sync.
    pub sync: Histogram,
    /// Last committed entry that is known.
    pub commit: Gauge,
    /// Bytes of entries held in memory.
    pub log_bytes: Gauge,
    /// Snapshots taken of the machines.
    pub snapshots: Counter,
    /// Snapshots received from a leader.
    pub installs: Counter,
    /// Changes of the known leader.
    pub leader_changes: Counter,
    proposals: Family<ProposalLabels, Counter>,
}

impl ReplicaMetrics {
    /// All metrics at zero, registered under `replica`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            term: Gauge::default(),
            is_leader: Gauge::default(),
            is_voting: Gauge::default(),
            sync: seconds(),
            commit: Gauge::default(),
            log_bytes: Gauge::default(),
            snapshots: Counter::default(),
            installs: Counter::default(),
            leader_changes: Counter::default(),
            proposals: Family::default(),
        };
        let registry = registry.sub_registry_with_prefix("replica");
        registry.register("term", "Newest term seen", metrics.term.clone());
        registry.register("is_leader", "1 while this instance leads", metrics.is_leader.clone());
        registry.register("is_voting", "1 while this instance votes", metrics.is_voting.clone());
        registry.register("sync_seconds", "Time from a write to its sync", metrics.sync.clone());
        registry.register("commit_index", "Last committed entry", metrics.commit.clone());
        registry.register("log_bytes", "Bytes of entries in memory", metrics.log_bytes.clone());
        registry.register("snapshots", "Snapshots taken", metrics.snapshots.clone());
        registry.register("installs", "Snapshots received", metrics.installs.clone());
        let changes = metrics.leader_changes.clone();
        registry.register("leader_changes", "Changes of the known leader", changes);
        for outcome in SHOWN_OUTCOMES {
            metrics.show_proposal(outcome);
        }
        registry.register("proposals", "Proposals by outcome", metrics.proposals.clone());
        metrics
    }

    fn show_proposal(&self, outcome: &str) {
        drop(self.proposals.get_or_create(&ProposalLabels { outcome: outcome.to_string() }));
    }

    /// Counts a proposal that ended with `outcome`.
    pub fn count_proposal(&self, outcome: &str) {
        self.proposals.get_or_create(&ProposalLabels { outcome: outcome.to_string() }).inc();
    }
}
