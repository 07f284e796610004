//! What the owner of a conversation's home knows of where the conversation was sent last.

use names::{Instance, Upstream};
use placement::Spills;

use crate::Message;
use crate::node::Out;

/// Conversations that are remembered.
const MAX_LOCATIONS: usize = 16_384;

/// Conversations that were sent to other upstreams than before, by any instance.
#[derive(Debug)]
pub(crate) struct Locations {
    last: Spills,
}

impl Default for Locations {
    fn default() -> Self {
        Self { last: Spills::new(MAX_LOCATIONS) }
    }
}

impl Locations {
    /// Takes note that the conversation was sent to `upstream`.
    pub(crate) fn learn(&mut self, key: u64, upstream: &Upstream) {
        self.last.insert(key, upstream);
    }

    /// Tells `asker` where the conversation was sent last, when that is known.
    pub(crate) fn tell(&self, asker: &Instance, key: u64, out: &mut Out) {
        if let Some(upstream) = self.last.get(key) {
            out.send(asker, Message::Located { key, upstream: upstream.clone() });
        }
    }
}
