//! How control instances, which are few and have narrow links, tell a large fleet who is there.
//!
//! When all instances start together, all ask the same few for their whole views. These give whole
//! views to each other and to a few instances of each data centre, the seniors, and to others a
//! sample that fits a datagram. With that the others find near instances, which have whole views.

use std::time::Instant;

use names::{DataCentre, Instance};
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::{Detector, YOUNG_ROUNDS};
use crate::record::Record;
use crate::{Message, Rumour};

/// Members from which on control instances do not give everyone their whole view.
const MANY: usize = 24;

/// Entry instances of a data centre that may ask control instances for whole views.
const SENIORS: usize = 4;

/// Whole views that a control instance gives in a round of half a second, some ten kilobytes each.
const VIEWS_A_ROUND: usize = 4;

/// Near instances in a sample, and bytes of it at most, so that it fits a datagram.
const NEAR: usize = 12;
const SAMPLE_BYTES: usize = 1100;

/// Bytes of a rumour beside its names.
const RUMOUR_BYTES: usize = 26;

/// The place of an instance in an order that is the same for all; the least is the most senior.
pub fn seniority(instance: &Instance) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}

impl Detector {
    /// Whether this instance begins exchanges of whole views with `peer`.
    pub(super) fn may_compare(&self, peer: &Instance) -> bool {
        let is_control = self.find(peer).is_ok_and(|index| self.records[index].belief.is_control);
        !is_control || self.me.is_control || !self.has_many() || self.is_senior(&self.me)
    }

    /// Whether this instance has started lately, and may exchange views more often.
    pub(super) fn is_young(&self) -> bool {
        !self.me.is_control && self.round <= YOUNG_ROUNDS
    }

    fn has_many(&self) -> bool {
        self.up().count() >= MANY
    }

    /// Whether the instance is among the seniors of its data centre.
    fn is_senior(&self, rumour: &Rumour) -> bool {
        let own = seniority(&rumour.instance);
        let is_before = |record: &&Record| seniority(&record.belief.instance) < own;
        self.entries_of(&rumour.data_centre).filter(is_before).count() < SENIORS
    }

    fn entries_of(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Record> {
        let is_there = |record: &&Record| {
            !record.belief.is_control && record.belief.data_centre == *data_centre
        };
        self.up().filter(is_there)
    }

    /// Answers a peer that wants the whole view.
    pub(super) fn answer_view(&mut self, peer: &Instance) {
        let known = self.find(peer).map(|index| self.records[index].belief.clone());
        let is_bounded = self.me.is_control && self.has_many();
        let Some(belief) = known.ok().filter(|_| is_bounded) else {
            self.send_view(peer, false);
            return;
        };
        let has_right = belief.is_control || self.is_senior(&belief);
        if has_right && self.views_given < VIEWS_A_ROUND {
            self.views_given += 1;
            self.send_view(peer, false);
        } else {
            let rumours = self.sample(&belief);
            self.send(peer, Message::Sample { rumours });
        }
    }

    /// What `peer` needs to find the others: control instances, the seniors of its data centre and
    /// some more of it, and some of others.
    fn sample(&mut self, peer: &Rumour) -> Vec<Rumour> {
        let controls = self.up().filter(|record| record.belief.is_control);
        let mut chosen: Vec<Rumour> = controls.map(|record| record.belief.clone()).collect();
        let mut near: Vec<Rumour> =
            self.entries_of(&peer.data_centre).map(|record| record.belief.clone()).collect();
        near.sort_by_key(|rumour| seniority(&rumour.instance));
        let juniors = near.split_off(near.len().min(SENIORS));
        chosen.extend(near);
        chosen.extend(juniors.sample(&mut self.random, NEAR - SENIORS).cloned());
        let mut others: Vec<Rumour> = self.up().map(|record| record.belief.clone()).collect();
        others.shuffle(&mut self.random);
        others.retain(|rumour| !chosen.contains(rumour));
        chosen.extend(others);
        chosen.retain(|rumour| rumour.instance != peer.instance);
        let size = |rumour: &Rumour| {
            RUMOUR_BYTES + rumour.instance.as_str().len() + rumour.data_centre.as_str().len()
        };
        let mut bytes = 0;
        let fits = |rumour: &Rumour| {
            bytes += size(rumour);
            bytes <= SAMPLE_BYTES
        };
        let mut rumours = vec![self.me.clone()];
        rumours.extend(chosen.into_iter().take_while(fits));
        rumours
    }

    /// Learns a sample, and asks one of the near instances in it for the whole view.
    pub(super) fn take_sample(&mut self, now: Instant, sender: &Instance, rumours: Vec<Rumour>) {
        self.learn_view(now, sender, rumours);
        let own = self.me.data_centre.clone();
        let near: Vec<Instance> =
            self.entries_of(&own).map(|record| record.belief.instance.clone()).collect();
        if let Some(one) = near.choose(&mut self.random).cloned() {
            self.send_view(&one, true);
        }
    }
}
