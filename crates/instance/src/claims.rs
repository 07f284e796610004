//! The actor that claims idempotency keys in the replicated ledger.

use stakker::{Actor, CX};
use wire::Delivery;

use crate::replica::Replica;

/// Claims keys before non-idempotent requests run, and records their results.
pub(crate) struct Claims {
    _replica: Actor<Replica>,
}

impl Claims {
    pub(crate) fn init(_: CX![], replica: Actor<Replica>) -> Option<Self> {
        Some(Self { _replica: replica })
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, _: CX![], delivery: Delivery) {
        log::debug!("ledger: message of instance {}", delivery.sender);
    }
}
