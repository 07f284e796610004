//! Queue of state updates, each of which is sent a limited number of times.

use names::Instance;

use crate::MemberState;

/// Maximum number of updates in one datagram.
const MAX_UPDATES_PER_MESSAGE: usize = 5;

/// Number of times that an update is sent, per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 2;

#[derive(Debug)]
struct QueuedUpdate {
    update: MemberState,
    sends: u32,
}

/// Updates that are still being spread, least often sent first.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    queue: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Queues `update` and removes an older update about the same instance.
    pub(crate) fn add(&mut self, update: MemberState) {
        self.remove(&update.instance);
        self.queue.insert(0, QueuedUpdate { update, sends: 0 });
    }

    fn remove(&mut self, instance: &Instance) {
        self.queue.retain(|queued| queued.update.instance != *instance);
    }

    /// Returns the updates for the next message, in a fleet of `members` instances.
    pub(crate) fn next_updates(&mut self, members: usize) -> Vec<MemberState> {
        let limit = SENDS_PER_DOUBLING * (members.max(1).ilog2() + 1);
        let chosen = self.queue.iter_mut().take(MAX_UPDATES_PER_MESSAGE);
        let updates = chosen
            .map(|queued| {
                queued.sends += 1;
                queued.update.clone()
            })
            .collect();
        self.queue.retain(|queued| queued.sends < limit);
        self.queue.sort_by_key(|queued| queued.sends);
        updates
    }
}
