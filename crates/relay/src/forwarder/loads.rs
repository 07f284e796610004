//! What instances tell each other of the load that upstreams report.
//!
//! An upstream tells its load with each answer, so an instance hears of it only as often as it
//! calls there, which in a large fleet is rarely. Each instance passes what it heard to a few
//! others, chosen anew each time: the cost for a node does not grow with the fleet.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use stakker::{CX, after, call};
use wire::{Delivery, Outgoing, Slice, Transport};
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;

/// How often loads are passed on; requests last longer than that.
pub(super) const PASS_PERIOD: Duration = Duration::from_millis(500);

/// Instances that loads are passed to each time.
const FANOUT: usize = 8;

/// Most loads in a message, so that it fits a datagram.
const MAX_LOADS: usize = 100;

/// The load of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Load {
    /// Names the upstream in few bytes.
    pub(super) upstream: u32,
    /// Requests that it has.
    pub(super) held: u16,
}

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
        let mut loads = self.table.take_observed();
        loads.truncate(MAX_LOADS);
        if !loads.is_empty() {
            let chosen: Vec<Instance> =
                self.others.sample(&mut rand::rng(), FANOUT).cloned().collect();
            match wire::encode(&Message { loads }) {
                Ok(payload) => self.send_loads(chosen, &payload),
                Err(error) => log::error!("loads cannot be passed on: {error}"),
            }
        }
        after!(PASS_PERIOD, [cx], pass_loads());
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
