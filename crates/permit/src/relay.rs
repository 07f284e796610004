//! Relaying of messages around links that are cut while both ends are alive.

use std::time::{Duration, Instant};

use names::Instance;

use crate::Message;
use crate::node::View;

/// Time for which a link is avoided after a permit request on it timed out.
const AVOID_DURATION: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct AvoidedLink {
    to: Instance,
    until: Instant,
}

/// Direct links from this instance that are avoided.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    avoided: Vec<AvoidedLink>,
}

impl RelayTable {
    /// Avoids the direct link to `to` for [`AVOID_DURATION`].
    pub(crate) fn avoid(&mut self, now: Instant, to: &Instance) {
        self.avoided.retain(|link| link.until > now && link.to != *to);
        self.avoided.push(AvoidedLink { to: to.clone(), until: now + AVOID_DURATION });
    }

    fn is_avoided(&self, now: Instant, to: &Instance) -> bool {
        self.avoided.iter().any(|link| link.to == *to && link.until > now)
    }

    /// Returns the next hop for `message` and the message to send to it. The message is wrapped in
    /// [`Message::Relayed`] if the direct link to `to` is avoided and another member can relay.
    pub(crate) fn route(
        &self,
        now: Instant,
        view: &View,
        to: Instance,
        message: Message,
    ) -> (Instance, Message) {
        if matches!(message, Message::Relayed { .. }) || !self.is_avoided(now, &to) {
            return (to, message);
        }
        let mut others = view.members.iter().filter(|other| **other != view.me && **other != to);
        let Some(relay) = others.find(|other| !self.is_avoided(now, other)).cloned() else {
            return (to, message);
        };
        let (origin, message) = (view.me.clone(), Box::new(message));
        (relay, Message::Relayed { origin, destination: to, message })
    }
}
