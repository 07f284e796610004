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

/// Most engines that are behind in a message.
const MAX_BEHIND: usize = 40;

/// What travels in [`Slice::Load`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Message {
    loads: Vec<Load>,
    /// Short names of engines that are behind: they have requests of the sender, and have sent it
    /// nothing for longer than reading a usual prompt takes.
    behind: Vec<u32>,
}

impl Message {
    fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.behind.is_empty()
    }
}

/// The short name of an upstream. Two may have the same, which costs a wrong estimate.
pub(super) fn short_name(upstream: &Upstream) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}

impl Forwarder {
    /// Tells a few instances what upstreams reported lately, and which engines are behind.
    pub(super) fn pass_loads(&mut self, cx: CX![]) {
        let Pace { period, fanout } = Pace::new(self.entries);
        let loads = self.table.pass_on(cx.now(), MAX_LOADS);
        let behind = match forward::is_wide(self.entries) {
            true => self.table.find_behind(cx.now(), MAX_BEHIND),
            false => Vec::new(),
        };
        let message = Message { loads, behind };
        if !message.is_empty() {
            let chosen: Vec<Instance> =
                self.others.sample(&mut rand::rng(), fanout).cloned().collect();
            self.send_loads(chosen, &message);
        }
        after!(period, [cx], pass_loads());
    }

    fn send_loads(&self, addressees: Vec<Instance>, message: &Message) {
        let payload = match wire::encode(message) {
            Ok(payload) => payload,
            Err(error) => {
                log::error!("loads cannot be passed on: {error}");
                return;
            }
        };
        for addressee in addressees {
            let (slice, transport, payload) = (Slice::Load, Transport::Udp, payload.clone());
            let outgoing = Outgoing { addressee, slice, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }

    /// Takes the loads that another instance heard of.
    pub(crate) fn take_loads(&mut self, cx: CX![], delivery: Delivery) {
        let now: Instant = cx.now();
        match wire::decode::<Message>("loads of upstreams", &delivery.payload) {
            Ok(message) => {
                message.loads.iter().for_each(|load| self.table.hear_load(now, *load));
                message.behind.iter().for_each(|short| self.table.hear_behind(now, *short));
            }
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }
}
