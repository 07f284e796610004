//! Metrics of membership and of permits for upstreams.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What an instance counts of its members and of the permits that it gives.
#[derive(Debug, Default)]
pub struct Membership {
    /// Instances that are members, this one among them.
    pub members: Gauge,
    /// Members that were suspected after a failed probe.
    pub suspicions: Counter,
    /// Members that ended, by death or leave.
    pub deaths: Counter,
    /// Upstreams that this instance owns.
    pub owned: Gauge,
    /// Permits that this instance gave and that are not given back.
    pub permits: Gauge,
}

impl Membership {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let membership = Self::default();
        // An instance that knows no other is a member of its own fleet.
        membership.members.set(1);
        registry.register("members", "Instances that are members", membership.members.clone());
        let suspicions = membership.suspicions.clone();
        registry.register("members_suspected", "Members that were suspected", suspicions);
        let deaths = membership.deaths.clone();
        registry.register("members_ended", "Members that died or left", deaths);
        registry.register("owned_upstreams", "Upstreams owned", membership.owned.clone());
        registry.register("permits", "Permits in use at the owner", membership.permits.clone());
        membership
    }
}
