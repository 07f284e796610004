//! Telling peers the newest revision, and learning it of them.

use std::time::{Duration, Instant};

use declare::{Message, Reaction};
use membership::Member;
use names::{DataCentre, Instance};
use operator::Response;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use settings::Settings;
use stakker::{CX, after, call};
use wire::{Outgoing, Slice};

use super::packet::{Packet, Status, transport};
use super::{Config, Heard};
use crate::operators::Ask;

/// Peers that are told after a change.
pub(super) const PEERS_AFTER_CHANGE: usize = 4;

/// Peers that are told in each period.
const PEERS_IN_PERIOD: usize = 2;

const PERIOD: Duration = Duration::from_millis(900);

/// Most that a period is lengthened at random.
const MAX_JITTER_MILLIS: u64 = 200;

/// How long a listing of the fleet waits for its instances.
const PROBE_WAIT: Duration = Duration::from_millis(500);

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Peer {
    pub(super) instance: Instance,
    pub(super) data_centre: DataCentre,
}

/// The peers that the settings name, sorted.
pub(super) fn configured(settings: &Settings) -> Vec<Peer> {
    let peers = settings.peers.iter();
    let mut peers: Vec<Peer> = peers
        .map(|peer| Peer { instance: peer.instance.clone(), data_centre: peer.data_centre.clone() })
        .collect();
    peers.sort();
    peers
}

impl Config {
    /// Learns the members; configured peers stay peers also while they seem to have failed, so
    /// that a cut which heals is noticed.
    pub(crate) fn set_members(&mut self, _: CX![], members: Vec<Member>) {
        self.peers = configured(&self.around.settings);
        for Member { instance, data_centre, .. } in members {
            let found = self.peers.binary_search_by(|peer| peer.instance.cmp(&instance));
            if let Err(index) = found {
                self.peers.insert(index, Peer { instance, data_centre });
            }
        }
    }

    /// Tells some peers, and again in every period.
    pub(super) fn tell_period(&mut self, cx: CX![]) {
        self.tell(PEERS_IN_PERIOD);
        let jitter = rand::rng().random_range(0..=MAX_JITTER_MILLIS);
        after!(PERIOD + Duration::from_millis(jitter), [cx], tell_period());
    }

    /// Tells `count` peers, chosen at random, the newest known revision.
    pub(super) fn tell(&mut self, count: usize) {
        let digest = Packet::Gossip(Message::Digest(self.view.digest()));
        let chosen: Vec<Peer> = self.peers.sample(&mut rand::rng(), count).cloned().collect();
        for peer in chosen {
            self.send(&peer.instance, &digest);
        }
    }

    pub(super) fn send(&mut self, addressee: &Instance, packet: &Packet) {
        let Ok(payload) = wire::encode(packet) else {
            return;
        };
        let outgoing = Outgoing {
            addressee: addressee.clone(),
            slice: Slice::Declare,
            transport: transport(payload.len()),
            payload,
        };
        call!([self.around.hub], send(outgoing));
    }

    /// Takes a message about revisions.
    pub(super) fn hear(&mut self, cx: CX![], sender: Instance, message: Message) {
        let mut has_advanced = false;
        for reaction in self.view.take(message) {
            match reaction {
                Reaction::Reply(reply) => self.send(&sender, &Packet::Gossip(reply)),
                Reaction::Advanced => has_advanced = true,
                Reaction::Diverged => self.note_diverged(&sender),
            }
        }
        if has_advanced {
            self.advance(cx);
        }
    }

    fn note_diverged(&mut self, sender: &Instance) {
        self.around.metrics.count_refused("diverged_revision");
        if let Err(index) = self.diverged.binary_search(sender) {
            self.diverged.insert(index, sender.clone());
            let revision = self.view.revision();
            log::error!("instance {sender} has other content under revision {revision}");
        }
    }

    pub(super) fn status(&self) -> Status {
        let active = u64::try_from(self.around.metrics.active.get()).unwrap_or(0);
        Status { in_force: self.in_force, active }
    }

    pub(super) fn note_status(&mut self, at: Instant, instance: Instance, status: Status) {
        let heard = Heard { instance, at, status };
        match self.heard.binary_search_by(|one| one.instance.cmp(&heard.instance)) {
            Ok(index) => self.heard[index] = heard,
            Err(index) => self.heard.insert(index, heard),
        }
    }

    /// Lists the instances of the fleet with their revisions in force.
    pub(crate) fn list_instances(&mut self, cx: CX![], ask: Ask) {
        if let Err(refusal) = self.access.check_reader(&ask.request) {
            ask.answer(refusal);
            return;
        }
        for peer in self.peers.clone() {
            self.send(&peer.instance, &Packet::Probe);
        }
        let asked = cx.now();
        after!(PROBE_WAIT, [cx], answer_instances(ask, asked));
    }

    fn answer_instances(&mut self, _: CX![], ask: Ask, asked: Instant) {
        let settings = &self.around.settings;
        let own = instance(&settings.instance, &settings.data_centre, Some(self.status()));
        let peers = self.peers.iter().map(|peer| {
            let found = self.heard.binary_search_by(|one| one.instance.cmp(&peer.instance)).ok();
            let heard = found.map(|index| &self.heard[index]).filter(|heard| heard.at >= asked);
            instance(&peer.instance, &peer.data_centre, heard.map(|heard| heard.status))
        });
        let instances: Vec<Value> = std::iter::once(own).chain(peers).collect();
        ask.answer(Response::json(
            200,
            &json!({ "asked": settings.instance, "instances": instances }),
        ));
    }
}

fn instance(name: &Instance, data_centre: &DataCentre, status: Option<Status>) -> Value {
    json!({
        "instance": name,
        "data_centre": data_centre,
        "answers": status.is_some(),
        "revision": status.map(|status| status.in_force),
        "active_requests": status.map(|status| status.active),
    })
}
