//! News that is spread a bounded number of times.

use names::Instance;

use crate::Rumour;

/// Most rumours on one datagram.
const MAX_PER_MESSAGE: usize = 5;

/// How often a rumour is sent, per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 2;

#[derive(Debug)]
struct Spread {
    rumour: Rumour,
    sends: u32,
}

/// Rumours that are still spread, the least sent first.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    spreads: Vec<Spread>,
}

impl Rumours {
    /// Spreads `rumour` in place of an older one about the same instance.
    pub(crate) fn add(&mut self, rumour: Rumour) {
        self.remove(&rumour.instance);
        self.spreads.insert(0, Spread { rumour, sends: 0 });
    }

    fn remove(&mut self, instance: &Instance) {
        self.spreads.retain(|spread| spread.rumour.instance != *instance);
    }

    /// The rumours for the next message, in a fleet of `members`.
    pub(crate) fn take(&mut self, members: usize) -> Vec<Rumour> {
        let limit = SENDS_PER_DOUBLING * (members.max(1).ilog2() + 1);
        let chosen = self.spreads.iter_mut().take(MAX_PER_MESSAGE);
        let rumours = chosen
            .map(|spread| {
                spread.sends += 1;
                spread.rumour.clone()
            })
            .collect();
        self.spreads.retain(|spread| spread.sends < limit);
        self.spreads.sort_by_key(|spread| spread.sends);
        rumours
    }
}
