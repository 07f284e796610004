//! Metrics of fleet membership and of permits for upstreams.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the members that an instance knows and of the permits that it grants.
#[derive(Debug, Default)]
pub struct MembershipMetrics {
    /// Number of member instances, including this one.
    pub members: Gauge,
    /// Number of suspicions raised after failed probes.
    pub suspicions: Counter,
    /// Number of departures: members that left or were declared dead.
    pub departures: Counter,
    /// Number of upstreams that this instance owns.
    pub owned: Gauge,
    /// Number of permits that this instance granted and that are not released yet.
    pub permits: Gauge,
}

impl MembershipMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        // An instance that knows no other instance is the only member of its fleet.
        metrics.members.set(1);
        registry.register("members", "Instances that are members", metrics.members.clone());
        let suspicions = metrics.suspicions.clone();
        registry.register("members_suspected", "Members that were suspected", suspicions);
        let departures = metrics.departures.clone();
        registry.register("members_ended", "Members that died or left", departures);
        registry.register("owned_upstreams", "Upstreams owned", metrics.owned.clone());
        registry.register("permits", "Permits in use at the owner", metrics.permits.clone());
        metrics
    }
}
