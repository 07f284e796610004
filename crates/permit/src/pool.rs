//! Properties of a pool: its slots, an estimate of its load, and the member that aggregates it.

use declare::Target;
use names::Instance;

use crate::node::{Context, View};
use crate::{InFlight, ObservedLoad, Pool};

/// Returns the number of requests that the available upstreams of `pool` can process at once.
pub(crate) fn pool_slots(context: Context<'_>, pool: &Pool) -> u64 {
    let target = Target::from(pool.clone());
    context.registry.available(&target).map(|entry| u64::from(entry.announcement.slots)).sum()
}

/// Extrapolates the load of a pool with `slots` slots from the mean load that was observed.
pub(crate) fn extrapolate(observed: ObservedLoad, slots: u64) -> InFlight {
    let scale = |requests: u32, _: u32| {
        let scaled = u64::from(requests).saturating_mul(slots);
        u32::try_from(scaled / observed.slots.max(1)).unwrap_or(u32::MAX)
    };
    observed.load.combine(InFlight::default(), scale)
}

/// Returns the member that aggregates the load of `pool`.
pub(crate) fn aggregator(pool: &Pool, view: &View) -> Option<Instance> {
    let name = match pool {
        Pool::Model(model) => model.to_string(),
        Pool::Upstreams(selector) => selector.to_string(),
    };
    let key = placement::hash_name(&name);
    placement::rendezvous_owner(key, &view.owners).cloned()
}
