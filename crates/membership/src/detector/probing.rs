//! Direct and indirect probes of members, and probes of instances that are down.

use std::time::{Duration, Instant};

use names::Instance;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Detector, PROBE_INTERVAL, VIEW_EXCHANGE_INTERVAL};
use crate::record::Record;
use crate::{Message, Status};

/// Time that a peer has to acknowledge a ping before other peers are asked to probe it.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of peers that are asked to probe an unresponsive one.
const INDIRECT_PROBES: usize = 3;

/// Number of configured peers that an entry instance pings in its first round, in addition to the
/// one that an instance without members pings in every round.
const INITIAL_ENTRY_PINGS: usize = 1;

/// Number of rounds between two pings of instances that are down.
const DOWN_PROBE_INTERVAL_ROUNDS: u64 = 2;

/// Maximum number of pending pings on behalf of other instances. The oldest one is dropped if there
/// are more.
const MAX_RELAYED_PROBES: usize = 64;

/// A ping that has not been acknowledged yet.
#[derive(Debug)]
pub(super) struct Probe {
    target: Instance,
    sequence: u64,
    relay_at: Option<Instant>,
    deadline: Instant,
}

/// A pending ping on behalf of another instance.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    sequence: u64,
    requester: Instance,
    requester_sequence: u64,
}

impl Detector {
    pub(super) fn check_probes(&mut self, now: Instant) {
        let mut relays = Vec::new();
        for probe in &mut self.probes {
            if probe.relay_at.is_some_and(|relay_at| relay_at <= now) {
                probe.relay_at = None;
                relays.push((probe.target.clone(), probe.sequence));
            }
        }
        for (target, sequence) in relays {
            self.request_indirect_probes(&target, sequence);
        }
        let failed: Vec<_> = self.probes.extract_if(.., |probe| probe.deadline <= now).collect();
        for probe in failed {
            self.suspect(now, &probe.target);
        }
    }

    fn request_indirect_probes(&mut self, target: &Instance, sequence: u64) {
        let is_alive = |record: &&Record| record.state.status == Status::Alive;
        let others = self.records.iter().filter(is_alive).map(|record| &record.state.instance);
        let mut others: Vec<_> = others.filter(|other| *other != target).cloned().collect();
        others.shuffle(&mut self.random);
        for other in others.iter().take(INDIRECT_PROBES) {
            self.send(other, Message::PingRequest { sequence, target: target.clone() });
        }
    }

    pub(super) fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        self.views_sent = 0;
        if let Some(target) = self.next_target() {
            self.probe(now, &target);
        }
        if let Some(suspect) = self.pick_random(|record| record.state.status == Status::Suspect) {
            self.ping(&suspect);
        }
        let is_alone = self.up().next().is_none();
        if is_alone || self.round.is_multiple_of(DOWN_PROBE_INTERVAL_ROUNDS) {
            let is_down =
                |record: &Record| matches!(record.state.status, Status::Dead | Status::Left);
            if let Some(down) = self.pick_random(is_down) {
                self.ping(&down);
            }
        }
        self.renotify_set_aside();
        if self.round == 1 {
            self.ping_configured_peers();
        }
    }

    /// Pings configured peers, so that a new instance becomes known within one round trip. Entry
    /// instances ping fewer peers, since many of them may start at the same time.
    fn ping_configured_peers(&mut self) {
        let records = self.records.iter().map(|record| record.state.instance.clone());
        let mut all: Vec<_> = records.take(INDIRECT_PROBES * 4).collect();
        if !self.me.is_control {
            all.shuffle(&mut self.random);
            all.truncate(INITIAL_ENTRY_PINGS);
        }
        for peer in all {
            self.ping(&peer);
        }
    }

    pub(super) fn pick_random<F>(&mut self, is_eligible: F) -> Option<Instance>
    where
        F: Fn(&Record) -> bool,
    {
        let matching: Vec<_> = self.records.iter().filter(|record| is_eligible(record)).collect();
        if matching.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..matching.len());
        Some(matching[index].state.instance.clone())
    }

    /// Returns the next member to probe, in an order that is shuffled again after each pass.
    fn next_target(&mut self) -> Option<Instance> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.up().map(|record| record.state.instance.clone()).collect();
                self.probe_order.shuffle(&mut self.random);
            }
            let target = self.probe_order.pop()?;
            let is_up = self.find(&target).is_ok_and(|index| self.records[index].is_up());
            if is_up {
                return Some(target);
            }
        }
    }

    fn probe(&mut self, now: Instant, target: &Instance) {
        let sequence = self.ping(target);
        self.probes.push(Probe {
            target: target.clone(),
            sequence,
            relay_at: Some(now + DIRECT_TIMEOUT),
            deadline: now + PROBE_INTERVAL,
        });
    }

    pub(super) fn ping(&mut self, target: &Instance) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        let updates = self.updates_for(target);
        let digest = self.digest();
        self.send(target, Message::Ping { sequence, digest, updates });
        sequence
    }

    pub(super) fn relay_probe(
        &mut self,
        requester: &Instance,
        requester_sequence: u64,
        target: &Instance,
    ) {
        let sequence = self.ping(target);
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            self.relayed_probes.remove(0);
        }
        self.relayed_probes.push(RelayedProbe {
            sequence,
            requester: requester.clone(),
            requester_sequence,
        });
    }

    pub(super) fn handle_ack(
        &mut self,
        now: Instant,
        sender: &Instance,
        sequence: u64,
        digest: u64,
    ) {
        self.probes.retain(|probe| probe.sequence != sequence);
        let relayed: Vec<_> =
            self.relayed_probes.extract_if(.., |relayed| relayed.sequence == sequence).collect();
        for RelayedProbe { requester, requester_sequence, .. } in relayed {
            let ack = Message::Ack { sequence: requester_sequence, digest, updates: Vec::new() };
            self.send(&requester, ack);
        }
        let Ok(index) = self.find(sender) else {
            return;
        };
        let is_first = !self.records[index].has_acked;
        self.records[index].has_acked = self.records[index].is_up();
        if is_first && self.round <= 2 && now >= self.next_view_exchange {
            self.next_view_exchange = now + VIEW_EXCHANGE_INTERVAL;
            self.send_view(sender, true);
        }
        self.compare_digest(now, sender, digest);
    }
}
