//! Probes of other instances: directly, through relays, and of those that are down.

use std::time::{Duration, Instant};

use names::Instance;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Detector, PERIOD, VIEW_PAUSE};
use crate::record::Record;
use crate::{Message, Status};

/// How long a peer may take to answer before others are asked to probe it.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Peers that are asked to probe a silent one.
const RELAYS: usize = 3;

/// Configured peers that a new entry instance pings at first, beside the one that it pings while it is
/// alone.
const GREETED: usize = 1;

/// Rounds between two probes of an instance that is down.
const DOWN_ROUNDS: u64 = 2;

/// Pings on others' behalf that are remembered.
const MAX_RELAYED: usize = 64;

/// A ping that was not answered yet.
#[derive(Debug)]
pub(super) struct Probe {
    target: Instance,
    sequence: u64,
    relay_at: Option<Instant>,
    deadline: Instant,
}

/// A ping on another instance's behalf.
#[derive(Debug)]
pub(super) struct Relayed {
    sequence: u64,
    asker: Instance,
    asker_sequence: u64,
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
            self.ask_relays(&target, sequence);
        }
        let failed: Vec<_> = self.probes.extract_if(.., |probe| probe.deadline <= now).collect();
        for probe in failed {
            self.suspect(now, &probe.target);
        }
    }

    fn ask_relays(&mut self, target: &Instance, sequence: u64) {
        let alive = |record: &&Record| record.belief.status == Status::Alive;
        let others = self.records.iter().filter(alive).map(|record| &record.belief.instance);
        let mut others: Vec<_> = others.filter(|other| *other != target).cloned().collect();
        others.shuffle(&mut self.random);
        for other in others.iter().take(RELAYS) {
            self.send(other, Message::Relay { sequence, target: target.clone() });
        }
    }

    pub(super) fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        self.views_given = 0;
        if let Some(target) = self.next_target() {
            self.probe(now, &target);
        }
        if let Some(suspect) = self.pick(|record| record.belief.status == Status::Suspect) {
            self.ping(&suspect);
        }
        let is_alone = self.up().next().is_none();
        if is_alone || self.round.is_multiple_of(DOWN_ROUNDS) {
            let is_down =
                |record: &Record| matches!(record.belief.status, Status::Dead | Status::Left);
            if let Some(down) = self.pick(is_down) {
                self.ping(&down);
            }
        }
        self.tell_aside();
        if self.round == 1 {
            self.greet();
        }
    }

    /// Pings configured peers, so that a new instance is known within one round trip. Entry
    /// instances ping fewer, since many of them may start at once.
    fn greet(&mut self) {
        let records = self.records.iter().map(|record| record.belief.instance.clone());
        let mut all: Vec<_> = records.take(RELAYS * 4).collect();
        if !self.me.is_control {
            all.shuffle(&mut self.random);
            all.truncate(GREETED);
        }
        for peer in all {
            self.ping(&peer);
        }
    }

    pub(super) fn pick<F>(&mut self, wanted: F) -> Option<Instance>
    where
        F: Fn(&Record) -> bool,
    {
        let matching: Vec<_> = self.records.iter().filter(|record| wanted(record)).collect();
        if matching.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..matching.len());
        Some(matching[index].belief.instance.clone())
    }

    /// The next member in an order that is shuffled anew after each pass.
    fn next_target(&mut self) -> Option<Instance> {
        loop {
            if self.order.is_empty() {
                self.order = self.up().map(|record| record.belief.instance.clone()).collect();
                self.order.shuffle(&mut self.random);
            }
            let target = self.order.pop()?;
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
            deadline: now + PERIOD,
        });
    }

    pub(super) fn ping(&mut self, target: &Instance) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        let rumours = self.news_for(target);
        let digest = self.digest();
        self.send(target, Message::Ping { sequence, digest, rumours });
        sequence
    }

    pub(super) fn relay(&mut self, asker: &Instance, asker_sequence: u64, target: &Instance) {
        let sequence = self.ping(target);
        if self.relayed.len() >= MAX_RELAYED {
            self.relayed.remove(0);
        }
        self.relayed.push(Relayed { sequence, asker: asker.clone(), asker_sequence });
    }

    pub(super) fn take_ack(&mut self, now: Instant, sender: &Instance, sequence: u64, digest: u64) {
        self.probes.retain(|probe| probe.sequence != sequence);
        let relayed: Vec<_> =
            self.relayed.extract_if(.., |relayed| relayed.sequence == sequence).collect();
        for Relayed { asker, asker_sequence, .. } in relayed {
            let ack = Message::Ack { sequence: asker_sequence, digest, rumours: Vec::new() };
            self.send(&asker, ack);
        }
        let Ok(index) = self.find(sender) else {
            return;
        };
        let is_first = !self.records[index].has_answered;
        self.records[index].has_answered = self.records[index].is_up();
        if is_first && self.round <= 2 && now >= self.next_view {
            self.next_view = now + VIEW_PAUSE;
            self.send_view(sender, true);
        }
        self.compare(now, sender, digest);
    }
}
