//! What instances tell each other of the load that upstreams report.
//!
//! An upstream tells its load with each answer, so an instance hears of it only as often as it
//! calls there, which in a large fleet is rarely. Each instance passes what it heard to a few
//! others, chosen anew each time: the cost for a node does not grow with the fleet. What is passed
//! on is chosen by [`forward::Hearsay`].

use std::time::{Duration, Instant};

use forward::{Load, Pace};
use names::{Instance, Upstream};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use stakker::{CX, after, call};
use wire::{Delivery, Outgoing, Slice, Transport};
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;

/// Most loads in a message, so that it fits a datagram.
const MAX_LOADS: usize = 100;

/// What travels in [`Slice::Load`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Message {
    loads: Vec<Load>,
}

/// The short name of an upstream. Two may have the same, which costs a wrong estimate.
pub(super) fn short_name(upstream: &Upstream) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}

impl Forwarder {
    /// Tells a few instances what upstreams reported lately.
    pub(super) fn pass_loads(&mut self, cx: CX![]) {
        let Pace { period, fanout } = Pace::new(self.entries);
        let loads = self.table.pass_on(cx.now(), MAX_LOADS);
        if !loads.is_empty() {
            let chosen: Vec<Instance> =
                self.others.sample(&mut rand::rng(), fanout).cloned().collect();
            match wire::encode(&Message { loads }) {
                Ok(payload) => self.send_loads(chosen, &payload),
                Err(error) => log::error!("loads cannot be passed on: {error}"),
            }
        }
        after!(period, [cx], pass_loads());
    }

    fn send_loads(&self, chosen: Vec<Instance>, payload: &[u8]) {
        for addressee in chosen {
            let (slice, transport, payload) = (Slice::Load, Transport::Udp, payload.to_vec());
            let outgoing = Outgoing { addressee, slice, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }

    /// Takes the loads that another instance heard of.
    pub(crate) fn take_loads(&mut self, cx: CX![], delivery: Delivery) {
        let now: Instant = cx.now();
        match wire::decode::<Message>("loads of upstreams", &delivery.payload) {
            Ok(message) => message.loads.iter().for_each(|load| self.table.hear_load(now, *load)),
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }
}
