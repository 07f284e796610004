//! Last known location of conversations, kept by the owner of each conversation's home upstream.

use names::{Instance, Upstream};
use placement::SpilledConversations;

use crate::Message;
use crate::node::Outbox;

/// Capacity of the location table, in conversations.
const MAX_LOCATIONS: usize = 16_384;

/// Conversations that any instance sent to a different upstream than before.
#[derive(Debug)]
pub(crate) struct Locations {
    last: SpilledConversations,
}

impl Default for Locations {
    fn default() -> Self {
        Self { last: SpilledConversations::new(MAX_LOCATIONS) }
    }
}

impl Locations {
    /// Records that the conversation was sent to `upstream`.
    pub(crate) fn record(&mut self, key: u64, upstream: &Upstream) {
        self.last.insert(key, upstream);
    }

    /// Sends the last location of the conversation to `requester`, if it is known.
    pub(crate) fn reply(&self, requester: &Instance, key: u64, outbox: &mut Outbox) {
        if let Some(upstream) = self.last.get(key) {
            outbox.send(requester, Message::Location { key, upstream: upstream.clone() });
        }
    }
}
