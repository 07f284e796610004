//! Ways around links that are cut while both ends live.

use std::time::{Duration, Instant};

use names::Instance;

use crate::Message;
use crate::node::View;

/// How long a link on which an ask got no answer is avoided.
const DETOUR: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Detour {
    to: Instance,
    until: Instant,
}

/// The links that are avoided.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    detours: Vec<Detour>,
}

impl Routes {
    /// Avoids the direct link to `to` for a while.
    pub(crate) fn avoid(&mut self, now: Instant, to: &Instance) {
        self.detours.retain(|detour| detour.until > now && detour.to != *to);
        self.detours.push(Detour { to: to.clone(), until: now + DETOUR });
    }

    fn is_avoided(&self, now: Instant, to: &Instance) -> bool {
        self.detours.iter().any(|detour| detour.to == *to && detour.until > now)
    }

    /// Where to send `message` first, and in which form.
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
        (relay, Message::Relayed { origin, addressee: to, message })
    }
}
