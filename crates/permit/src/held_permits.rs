//! The permits that this instance holds, and the reports about them to their owners.

use std::time::{Duration, Instant};

use admission::Tokens;
use names::{Instance, Upstream};

use crate::node::{Outbox, View};
use crate::{Message, PermitId, PermitReport};

/// Time between two reports of all held permits to their owners.
const RECONCILE_PERIOD: Duration = Duration::from_secs(3);

/// Time after the last contact for which an owner gets reports even if it counts no held permit.
const CONTACT_RETENTION: Duration = Duration::from_secs(15);

/// Time for which the newest permit of an owner is remembered, also while the owner is not a
/// member.
const NEWEST_RETENTION: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct HeldPermit {
    permit: PermitId,
    upstream: Upstream,
    /// Instances that count the permit, including those that left the membership, since they may
    /// still be alive.
    counted_by: Vec<Instance>,
}

#[derive(Debug)]
struct OwnerContact {
    owner: Instance,
    newest: Option<PermitId>,
    report_until: Instant,
    remove_at: Instant,
}

/// Held permits and the owners that granted them.
#[derive(Debug)]
pub(crate) struct HeldPermits {
    permits: Vec<HeldPermit>,
    contacts: Vec<OwnerContact>,
    members: Vec<Instance>,
    next_reconcile: Instant,
}

impl HeldPermits {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            permits: Vec::new(),
            contacts: Vec::new(),
            members: Vec::new(),
            next_reconcile: now + RECONCILE_PERIOD,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.permits.iter().map(|entry| (entry.permit, &entry.upstream))
    }

    /// Adds a permit that `owner` granted.
    pub(crate) fn add(&mut self, permit: PermitId, upstream: Upstream, owner: Instance) {
        self.permits.push(HeldPermit { permit, upstream, counted_by: vec![owner] });
    }

    /// Records that a permit request was sent to `owner`, or that `owner` granted `newest`.
    pub(crate) fn record_contact(
        &mut self,
        now: Instant,
        owner: &Instance,
        newest: Option<PermitId>,
    ) {
        let report_until = now + CONTACT_RETENTION;
        let remove_at = now + NEWEST_RETENTION;
        match self.contacts.iter_mut().find(|contact| contact.owner == *owner) {
            Some(contact) => {
                contact.report_until = report_until;
                contact.remove_at = remove_at;
                contact.newest = newest.max(contact.newest);
            }
            None => {
                let owner = owner.clone();
                self.contacts.push(OwnerContact { owner, newest, report_until, remove_at });
            }
        }
    }

    pub(crate) fn release(&mut self, permit: PermitId, used: Tokens, outbox: &mut Outbox) {
        let Some(index) = self.permits.iter().position(|entry| entry.permit == permit) else {
            return;
        };
        let HeldPermit { counted_by, .. } = self.permits.swap_remove(index);
        for owner in counted_by {
            outbox.send(&owner, Message::Release { permit, used });
        }
    }

    /// Reports the permits held for `upstreams` to `claimer`. Where the view has a different owner,
    /// notifies that owner of the claim, since the claimer may not know it.
    pub(crate) fn report(
        &mut self,
        view: &View,
        claimer: &Instance,
        upstreams: &[Upstream],
        outbox: &mut Outbox,
    ) {
        let reports = upstreams.iter().map(|upstream| {
            let agrees = view.owner(upstream) == *claimer;
            self.report_on(upstream, claimer, agrees)
        });
        let reports = reports.collect();
        outbox.send(claimer, Message::Reports(reports));
        for upstream in upstreams {
            let owner = view.owner(upstream);
            if owner != *claimer {
                outbox.send(&owner, Message::Contest { upstreams: vec![upstream.clone()] });
            }
        }
    }

    fn report_on(&mut self, upstream: &Upstream, owner: &Instance, agrees: bool) -> PermitReport {
        let mut permits = Vec::new();
        for entry in self.permits.iter_mut().filter(|entry| entry.upstream == *upstream) {
            if !entry.counted_by.contains(owner) {
                entry.counted_by.push(owner.clone());
            }
            permits.push(entry.permit);
        }
        PermitReport { upstream: upstream.clone(), permits, agrees }
    }

    /// Applies a membership change: reports held permits to new owners and to returned ones.
    pub(crate) fn update(&mut self, view: &View, outbox: &mut Outbox) {
        let uncounted: Vec<_> = self
            .permits
            .iter()
            .filter(|entry| !entry.counted_by.contains(&view.owner(&entry.upstream)))
            .map(|entry| entry.upstream.clone())
            .collect();
        self.report_to_owners(view, uncounted, outbox);
        self.report_to_returned(view, outbox);
    }

    /// Reports all held permits to their owners.
    pub(crate) fn report_all(&mut self, view: &View, outbox: &mut Outbox) {
        let all = self.permits.iter().map(|entry| entry.upstream.clone()).collect();
        self.report_to_owners(view, all, outbox);
    }

    fn report_to_owners(&mut self, view: &View, mut upstreams: Vec<Upstream>, outbox: &mut Outbox) {
        upstreams.sort();
        upstreams.dedup();
        for upstream in upstreams {
            let owner = view.owner(&upstream);
            let report = self.report_on(&upstream, &owner, false);
            outbox.send(&owner, Message::Reports(vec![report]));
        }
    }

    /// Sends the periodic reports when they are due.
    pub(crate) fn tick(&mut self, now: Instant, outbox: &mut Outbox) {
        if now >= self.next_reconcile {
            self.next_reconcile = now + RECONCILE_PERIOD;
            self.reconcile(now, outbox);
        }
    }

    /// Reports to each owner that counts held permits or was contacted recently.
    fn reconcile(&mut self, now: Instant, outbox: &mut Outbox) {
        let held = &self.permits;
        let is_counted =
            |peer: &OwnerContact| held.iter().any(|entry| entry.counted_by.contains(&peer.owner));
        self.contacts.retain(|contact| contact.remove_at > now || is_counted(contact));
        for contact in &self.contacts {
            if contact.report_until > now || is_counted(contact) {
                outbox.send(&contact.owner, self.reconcile_message(contact));
            }
        }
    }

    /// Returns the report of all held permits that an owner counts.
    fn reconcile_message(&self, contact: &OwnerContact) -> Message {
        let mut reports: Vec<PermitReport> = Vec::new();
        for entry in self.permits.iter().filter(|entry| entry.counted_by.contains(&contact.owner)) {
            match reports.iter_mut().find(|report| report.upstream == entry.upstream) {
                Some(report) => report.permits.push(entry.permit),
                None => reports.push(PermitReport {
                    upstream: entry.upstream.clone(),
                    permits: vec![entry.permit],
                    agrees: false,
                }),
            }
        }
        Message::Reconcile { newest: contact.newest, reports }
    }

    /// Reports to owners that returned to the membership, so that they learn which permits were
    /// released in the meantime.
    fn report_to_returned(&mut self, view: &View, outbox: &mut Outbox) {
        let old = std::mem::replace(&mut self.members, view.members.clone());
        let is_returned =
            |peer: &&OwnerContact| view.members.contains(&peer.owner) && !old.contains(&peer.owner);
        for contact in self.contacts.iter().filter(is_returned) {
            outbox.send(&contact.owner, self.reconcile_message(contact));
        }
    }

    /// Stops reporting to `owner`, whose run has ended and no longer counts any permits.
    pub(crate) fn remove_owner(&mut self, owner: &Instance) {
        self.contacts.retain(|contact| contact.owner != *owner);
        for entry in &mut self.permits {
            entry.counted_by.retain(|other| other != owner);
        }
    }
}
