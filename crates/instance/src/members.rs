//! The actor that knows which instances live.

use std::rc::Rc;

use settings::Settings;
use stakker::{Actor, CX};
use wire::{Delivery, Hub};

/// Watches the other instances.
pub(crate) struct Members {
    _settings: Rc<Settings>,
    _hub: Actor<Hub>,
}

impl Members {
    pub(crate) fn init(_: CX![], settings: Rc<Settings>, hub: Actor<Hub>) -> Option<Self> {
        Some(Self { _settings: settings, _hub: hub })
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("membership: message of instance {}", delivery.sender);
    }
}
