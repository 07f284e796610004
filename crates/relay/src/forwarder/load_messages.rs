//! What instances tell each other of the load that upstreams report.
//!
//! An upstream tells its load with each answer, so an instance hears of it only as often as it
//! calls there, which in a large fleet is rarely. Each instance passes what it heard to a few
//! peers, chosen anew each time: the cost for a node does not grow with the fleet. What is passed
//! on is chosen by [`forward::Hearsay`].

use std::time::{Duration, Instant};

use forward::Load;
use names::Instance;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use stakker::{CX, after, call};
use wire::{Delivery, Outgoing, Slice, Transport};

use super::Forwarder;

/// Most loads in a message, so that it fits a datagram.
const MAX_LOADS: usize = 100;

/// Most engines that are behind in a message.
const MAX_BEHIND: usize = 40;

/// What travels in [`Slice::Load`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// What the sender heard from upstreams.
    Loads {
        loads: Vec<Load>,
        /// Short names of engines that are behind: they have requests of the sender, and have sent
        /// it nothing for longer than reading a usual prompt takes.
        behind: Vec<u32>,
    },
    /// Asks the tracker of an upstream how much it holds.
    LoadQuery(LoadCount),
    /// The answer: what all instances have there.
    LoadAnswer(LoadCount),
    /// Tells a tracker what the sender has at upstreams, and the latency of one of them.
    Report { number: u64, held: Vec<(u32, u32)>, latency: Option<Latency> },
}

/// Requests at an upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct LoadCount {
    /// Grows with each message of its kind; an answer has that of its question.
    pub(super) number: u64,
    /// Short name of the upstream.
    pub(super) upstream: u32,
    /// Requests there, with the one that is asked for.
    pub(super) held: u32,
    /// Requests of the upstream's service that the sender has anywhere.
    pub(super) in_flight: u32,
    /// Microseconds that the upstream takes for an event or a plain answer, 0 if that is not known.
    pub(super) micros: u32,
}

/// How fast an upstream was.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Latency {
    /// Short name of the upstream.
    pub(super) upstream: u32,
    /// Microseconds for an event or a plain answer.
    pub(super) micros: u32,
}

impl Forwarder {
    /// Tells a few instances what upstreams reported lately, and which engines are behind.
    pub(super) fn send_loads_periodically(&mut self, cx: CX![]) {
        let forward::Pace { period, fanout } = forward::Pace::new(self.entry_instances);
        let loads = self.table.loads_to_send(cx.now(), MAX_LOADS);
        let behind = match forward::is_wide(self.entry_instances) {
            true => self.table.engines_behind(cx.now(), MAX_BEHIND),
            false => Vec::new(),
        };
        if !loads.is_empty() || !behind.is_empty() {
            let message = Message::Loads { loads, behind };
            let chosen = self.peers.sample(&mut rand::rng(), fanout);
            let chosen: Vec<Instance> = chosen.map(|one| one.instance.clone()).collect();
            self.send_loads(chosen, &message);
        }
        after!(period, [cx], send_loads_periodically());
    }

    pub(super) fn send_loads(&self, addressees: Vec<Instance>, message: &Message) {
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
    pub(crate) fn receive_load_message(&mut self, cx: CX![], delivery: Delivery) {
        let now: Instant = cx.now();
        match wire::decode::<Message>("loads of upstreams", &delivery.payload) {
            Ok(Message::Loads { loads, behind }) => {
                loads.iter().for_each(|load| self.table.receive_load(now, *load));
                behind.iter().for_each(|short| self.table.receive_behind(now, *short));
            }
            Ok(Message::LoadQuery(count)) => self.answer_load_query(now, delivery.sender, count),
            Ok(Message::LoadAnswer(count)) => self.receive_load_answer(cx, &delivery.sender, count),
            Ok(Message::Report { number, held, latency }) => {
                for (upstream, held) in held {
                    self.tally.tell(now, &delivery.sender, number, upstream, held);
                }
                if let Some(Latency { upstream, micros }) = latency {
                    self.paces.observe(now, upstream, micros);
                }
            }
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }
}
