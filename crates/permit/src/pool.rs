//! What an owner derives of a pool: its slots, its load by what was seen, and who sums it.

use declare::Target;
use names::Instance;

use crate::node::{Context, View};
use crate::{Evidence, Load, Pool};

/// Requests that the available upstreams of `pool` work on at once.
pub(crate) fn pool_slots(context: Context<'_>, pool: &Pool) -> u32 {
    let target = Target::from(pool.clone());
    context.registry.available(&target).map(|entry| entry.announcement.slots).sum()
}

/// The load of the whole pool of `slots` at the mean that was seen.
pub(crate) fn scale(evidence: Evidence, slots: u32) -> Load {
    let part = |requests: u32, _: u32| {
        let seen = u64::from(requests) * u64::from(slots);
        u32::try_from(seen / u64::from(evidence.slots.max(1))).unwrap_or(u32::MAX)
    };
    evidence.load.combine(Load::default(), part)
}

/// The member that sums the load of `pool`.
pub(crate) fn aggregator(pool: &Pool, view: &View) -> Option<Instance> {
    let name = match pool {
        Pool::Model(model) => model.to_string(),
        Pool::Upstreams(selector) => selector.to_string(),
    };
    let key = placement::key_of(&name);
    placement::chosen(key, &view.owners).cloned()
}
