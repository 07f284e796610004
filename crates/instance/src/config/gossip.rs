//! Gossip about the newest revision between peers.

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
use super::{Config, PeerStatus};
use crate::operators::PendingRequest;

/// Number of peers that receive a digest after a change.
pub(super) const FANOUT_AFTER_CHANGE: usize = 4;

/// Number of peers that receive a digest in each gossip interval.
const PERIODIC_FANOUT: usize = 2;

/// Time between two rounds of gossip, without jitter.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(900);

/// Maximum random extension of the gossip interval, in milliseconds.
const MAX_GOSSIP_JITTER_MILLIS: u64 = 200;

/// Maximum time that a listing of the fleet waits for the status of its instances.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Another instance of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Peer {
    pub(super) instance: Instance,
    pub(super) data_centre: DataCentre,
}

/// Returns the peers from the settings, sorted.
pub(super) fn configured_peers(settings: &Settings) -> Vec<Peer> {
    let peers = settings.peers.iter();
    let mut peers: Vec<Peer> = peers
        .map(|peer| Peer { instance: peer.instance.clone(), data_centre: peer.data_centre.clone() })
        .collect();
    peers.sort();
    peers
}

impl Config {
    /// Updates the peers from the current members.
    ///
    /// Peers from the settings remain peers even while they seem to have failed, so that gossip
    /// resumes after a network partition heals.
    pub(crate) fn set_members(&mut self, _: CX![], members: Vec<Member>) {
        self.peers = configured_peers(&self.dependencies.settings);
        for Member { instance, data_centre, .. } in members {
            let found = self.peers.binary_search_by(|peer| peer.instance.cmp(&instance));
            if let Err(index) = found {
                self.peers.insert(index, Peer { instance, data_centre });
            }
        }
    }

    /// Sends a digest to random peers and schedules the next round of gossip.
    pub(super) fn gossip_periodically(&mut self, cx: CX![]) {
        self.gossip(PERIODIC_FANOUT);
        let jitter = rand::rng().random_range(0..=MAX_GOSSIP_JITTER_MILLIS);
        after!(GOSSIP_INTERVAL + Duration::from_millis(jitter), [cx], gossip_periodically());
    }

    /// Sends the digest of the newest known revision to `count` random peers.
    pub(super) fn gossip(&mut self, count: usize) {
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
        call!([self.dependencies.hub], send(outgoing));
    }

    /// Handles a gossip message about revisions.
    pub(super) fn handle_gossip(&mut self, cx: CX![], sender: Instance, message: Message) {
        let mut is_newer = false;
        for reaction in self.view.take(message) {
            match reaction {
                Reaction::Reply(reply) => self.send(&sender, &Packet::Gossip(reply)),
                Reaction::Advanced => is_newer = true,
                Reaction::Diverged => self.record_divergence(&sender),
            }
        }
        if is_newer {
            self.advance(cx);
        }
    }

    fn record_divergence(&mut self, sender: &Instance) {
        self.dependencies.metrics.count_refused("diverged_revision");
        if let Err(index) = self.diverged_peers.binary_search(sender) {
            self.diverged_peers.insert(index, sender.clone());
            let revision = self.view.revision();
            log::error!(
                "instance {sender} has different content for revision {revision}; \
                 the revisions of the two instances have diverged"
            );
        }
    }

    pub(super) fn status(&self) -> Status {
        let active = u64::try_from(self.dependencies.metrics.active_requests.get()).unwrap_or(0);
        Status { in_force: self.in_force, active }
    }

    pub(super) fn record_status(&mut self, at: Instant, instance: Instance, status: Status) {
        let peer_status = PeerStatus { instance, at, status };
        match self
            .peer_statuses
            .binary_search_by(|status| status.instance.cmp(&peer_status.instance))
        {
            Ok(index) => self.peer_statuses[index] = peer_status,
            Err(index) => self.peer_statuses.insert(index, peer_status),
        }
    }

    /// Lists the instances of the fleet with the revision that each one has in force.
    pub(crate) fn list_instances(&mut self, cx: CX![], pending: PendingRequest) {
        if let Err(refusal) = self.access.check_reader(&pending.request) {
            pending.respond(refusal);
            return;
        }
        for peer in self.peers.clone() {
            self.send(&peer.instance, &Packet::Probe);
        }
        let probed_at = cx.now();
        after!(PROBE_TIMEOUT, [cx], respond_with_instances(pending, probed_at));
    }

    fn respond_with_instances(&mut self, _: CX![], pending: PendingRequest, probed_at: Instant) {
        let settings = &self.dependencies.settings;
        let own = instance_json(&settings.instance, &settings.data_centre, Some(self.status()));
        let peers = self.peers.iter().map(|peer| {
            let found = self
                .peer_statuses
                .binary_search_by(|status| status.instance.cmp(&peer.instance))
                .ok();
            let peer_status = found
                .map(|index| &self.peer_statuses[index])
                .filter(|peer_status| peer_status.at >= probed_at);
            instance_json(
                &peer.instance,
                &peer.data_centre,
                peer_status.map(|peer_status| peer_status.status),
            )
        });
        let instances: Vec<Value> = std::iter::once(own).chain(peers).collect();
        pending.respond(Response::json(
            200,
            &json!({ "asked": settings.instance, "instances": instances }),
        ));
    }
}

fn instance_json(name: &Instance, data_centre: &DataCentre, status: Option<Status>) -> Value {
    json!({
        "instance": name,
        "data_centre": data_centre,
        "answers": status.is_some(),
        "revision": status.map(|status| status.in_force),
        "active_requests": status.map(|status| status.active),
    })
}
