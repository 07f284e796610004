//! Metrics of the replicated log.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answers::latency_histogram;

/// Labels of a completed proposal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProposalLabels {
    outcome: String,
}

/// Outcomes of proposals whose counters are exported at zero before the first proposal completes.
const INITIAL_OUTCOMES: [&str; 3] = ["applied", "not-run", "unknown"];

/// Metrics of the replicated log at one instance.
pub struct ReplicaMetrics {
    /// Newest term seen.
    pub term: Gauge,
    /// 1 while this instance is the leader, otherwise 0.
    pub is_leader: Gauge,
    /// 1 while this instance is a voter, otherwise 0.
    pub is_voting: Gauge,
    /// Time from writing entries until they are synced to disk, in seconds.
    pub sync: Histogram,
    /// Index of the last entry that is known to be committed.
    pub commit_index: Gauge,
    /// Size of the entries held in memory, in bytes.
    pub log_bytes: Gauge,
    /// Number of snapshots taken of the state machines.
    pub snapshots: Counter,
    /// Number of snapshots of a leader that were installed.
    pub installed_snapshots: Counter,
    /// Number of changes of the known leader.
    pub leader_changes: Counter,
    proposals: Family<ProposalLabels, Counter>,
}

impl ReplicaMetrics {
    /// Registers all metrics at zero, with the prefix `replica`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            term: Gauge::default(),
            is_leader: Gauge::default(),
            is_voting: Gauge::default(),
            sync: latency_histogram(),
            commit_index: Gauge::default(),
            log_bytes: Gauge::default(),
            snapshots: Counter::default(),
            installed_snapshots: Counter::default(),
            leader_changes: Counter::default(),
            proposals: Family::default(),
        };
        let registry = registry.sub_registry_with_prefix("replica");
        registry.register("term", "Newest term seen", metrics.term.clone());
        registry.register("is_leader", "1 while this instance leads", metrics.is_leader.clone());
        registry.register("is_voting", "1 while this instance votes", metrics.is_voting.clone());
        registry.register("sync_seconds", "Time from a write to its sync", metrics.sync.clone());
        registry.register("commit_index", "Last committed entry", metrics.commit_index.clone());
        registry.register("log_bytes", "Bytes of entries in memory", metrics.log_bytes.clone());
        registry.register("snapshots", "Snapshots taken", metrics.snapshots.clone());
        registry.register("installs", "Snapshots received", metrics.installed_snapshots.clone());
        let changes = metrics.leader_changes.clone();
        registry.register("leader_changes", "Changes of the known leader", changes);
        for outcome in INITIAL_OUTCOMES {
            metrics.initialize_proposals(outcome);
        }
        registry.register("proposals", "Proposals by outcome", metrics.proposals.clone());
        metrics
    }

    /// Exports the counter of `outcome` at zero, so that alerts can detect its first increase.
    fn initialize_proposals(&self, outcome: &str) {
        drop(self.proposals.get_or_create(&ProposalLabels { outcome: outcome.to_string() }));
    }

    /// Counts a proposal that completed with `outcome`.
    pub fn count_proposal(&self, outcome: &str) {
        self.proposals.get_or_create(&ProposalLabels { outcome: outcome.to_string() }).inc();
    }
}
