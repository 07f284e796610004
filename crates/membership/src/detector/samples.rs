//! Distribution of views by control instances in a large fleet.
//!
//! Control instances are few and have narrow links. When all instances start together, all of them
//! request full views from the same few control instances. A control instance therefore sends
//! full views only to other control instances and to a few representatives of each data centre.
//! Other instances get a sample that fits into a datagram, and request the full view from an
//! instance of their own data centre that is listed in the sample.

use std::time::Instant;

use names::{DataCentre, Instance};
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::{Detector, STARTUP_ROUNDS};
use crate::record::Record;
use crate::{MemberState, Message};

/// Fleet size from which on control instances do not send their full view to every instance.
const LARGE_FLEET_MEMBERS: usize = 24;

/// Number of entry instances per data centre that get full views from control instances.
const REPRESENTATIVES: usize = 4;

/// Maximum number of full views, of about ten kilobytes each, that a control instance sends to
/// requesters in one round of half a second.
const MAX_VIEWS_PER_ROUND: usize = 4;

/// Number of instances of the receiver's data centre in a sample, representatives included.
const MAX_LOCAL_IN_SAMPLE: usize = 12;

/// Maximum size of a sample in bytes, so that a sample fits into a datagram.
const MAX_SAMPLE_BYTES: usize = 1100;

/// Encoded size of a state in bytes, without the names of the instance and the data centre.
const STATE_OVERHEAD_BYTES: usize = 26;

/// Returns the position of an instance in an order that is the same on all instances. The instance
/// with the least value is the most senior.
pub fn rank(instance: &Instance) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}

impl Detector {
    /// Returns whether the local instance may start an exchange of full views with `peer`.
    pub(super) fn may_exchange_views(&self, peer: &Instance) -> bool {
        let is_control = self.find(peer).is_ok_and(|index| self.records[index].state.is_control);
        !is_control
            || self.me.is_control
            || !self.is_large_fleet()
            || self.is_representative(&self.me)
    }

    /// Returns whether the local instance started recently and may exchange views more often.
    pub(super) fn is_starting(&self) -> bool {
        !self.me.is_control && self.round <= STARTUP_ROUNDS
    }

    fn is_large_fleet(&self) -> bool {
        self.up().count() >= LARGE_FLEET_MEMBERS
    }

    /// Returns whether the instance is one of the representatives of its data centre, which are its
    /// most senior entry instances.
    fn is_representative(&self, state: &MemberState) -> bool {
        let own_seniority = rank(&state.instance);
        let is_before = |record: &&Record| rank(&record.state.instance) < own_seniority;
        self.entry_instances_of(&state.data_centre).filter(is_before).count() < REPRESENTATIVES
    }

    fn entry_instances_of(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Record> {
        let is_local_entry =
            |record: &&Record| !record.state.is_control && record.state.data_centre == *data_centre;
        self.up().filter(is_local_entry)
    }

    /// Replies to a peer that requested the full view, with the view or a sample of it.
    pub(super) fn reply_to_view(&mut self, peer: &Instance) {
        let known = self.find(peer).map(|index| self.records[index].state.clone());
        let is_bounded = self.me.is_control && self.is_large_fleet();
        let Some(state) = known.ok().filter(|_| is_bounded) else {
            self.send_view(peer, false);
            return;
        };
        let may_receive_view = state.is_control || self.is_representative(&state);
        if may_receive_view && self.views_sent < MAX_VIEWS_PER_ROUND {
            self.views_sent += 1;
            self.send_view(peer, false);
        } else {
            let updates = self.sample(&state);
            self.send(peer, Message::Sample { updates });
        }
    }

    /// Returns the states from which `peer` can find the other instances: control instances, the
    /// representatives and some other entry instances of its data centre, and random instances of
    /// the rest of the fleet.
    fn sample(&mut self, peer: &MemberState) -> Vec<MemberState> {
        let controls = self.up().filter(|record| record.state.is_control);
        let mut chosen: Vec<MemberState> = controls.map(|record| record.state.clone()).collect();
        let mut local: Vec<MemberState> =
            self.entry_instances_of(&peer.data_centre).map(|record| record.state.clone()).collect();
        local.sort_by_key(|update| rank(&update.instance));
        let other_local = local.split_off(local.len().min(REPRESENTATIVES));
        chosen.extend(local);
        chosen.extend(
            other_local.sample(&mut self.random, MAX_LOCAL_IN_SAMPLE - REPRESENTATIVES).cloned(),
        );
        let mut others: Vec<MemberState> = self.up().map(|record| record.state.clone()).collect();
        others.shuffle(&mut self.random);
        others.retain(|update| !chosen.contains(update));
        chosen.extend(others);
        chosen.retain(|update| update.instance != peer.instance);
        let size = |update: &MemberState| {
            STATE_OVERHEAD_BYTES
                + update.instance.as_str().len()
                + update.data_centre.as_str().len()
        };
        let mut bytes = 0;
        let fits = |update: &MemberState| {
            bytes += size(update);
            bytes <= MAX_SAMPLE_BYTES
        };
        let mut updates = vec![self.me.clone()];
        updates.extend(chosen.into_iter().take_while(fits));
        updates
    }

    /// Merges a sample, and requests the full view from an instance of the same data centre.
    pub(super) fn handle_sample(
        &mut self,
        now: Instant,
        sender: &Instance,
        updates: Vec<MemberState>,
    ) {
        self.merge_view(now, sender, updates);
        let data_centre = self.me.data_centre.clone();
        let local: Vec<Instance> = self
            .entry_instances_of(&data_centre)
            .map(|record| record.state.instance.clone())
            .collect();
        if let Some(one) = local.choose(&mut self.random).cloned() {
            self.send_view(&one, true);
        }
    }
}
