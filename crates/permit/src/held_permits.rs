//! The permits that this instance holds, and what it tells their owners of them.

use std::time::{Duration, Instant};

use admission::Tokens;
use names::{Instance, Upstream};

use crate::node::{Out, View};
use crate::{Message, PermitId, Report};

/// Time between two tellings of all held permits to their owners.
const RECONCILE_PERIOD: Duration = Duration::from_secs(3);

/// How long an owner that was asked is told what is held.
const CONTACT_MEMORY: Duration = Duration::from_secs(15);

/// How long the newest permit of an owner is remembered, also while it is lost from view.
const NEWEST_MEMORY: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct Held {
    permit: PermitId,
    upstream: Upstream,
    /// Instances that count the permit, also those lost from view: they may live.
    counted_by: Vec<Instance>,
}

#[derive(Debug)]
struct Contact {
    owner: Instance,
    newest: Option<PermitId>,
    until: Instant,
    forget_at: Instant,
}

/// The held permits and the owners that gave them.
#[derive(Debug)]
pub(crate) struct Permits {
    held: Vec<Held>,
    contacts: Vec<Contact>,
    members: Vec<Instance>,
    next_reconcile: Instant,
}

impl Permits {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            held: Vec::new(),
            contacts: Vec::new(),
            members: Vec::new(),
            next_reconcile: now + RECONCILE_PERIOD,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (PermitId, &Upstream)> {
        self.held.iter().map(|held| (held.permit, &held.upstream))
    }

    /// Takes a permit that `owner` gave.
    pub(crate) fn add(&mut self, permit: PermitId, upstream: Upstream, owner: Instance) {
        self.held.push(Held { permit, upstream, counted_by: vec![owner] });
    }

    /// Takes note that `owner` was asked, or gave its permit `newest`.
    pub(crate) fn contact(&mut self, now: Instant, owner: &Instance, newest: Option<PermitId>) {
        let until = now + CONTACT_MEMORY;
        let forget_at = now + NEWEST_MEMORY;
        match self.contacts.iter_mut().find(|contact| contact.owner == *owner) {
            Some(contact) => {
                contact.until = until;
                contact.forget_at = forget_at;
                contact.newest = newest.max(contact.newest);
            }
            None => {
                let owner = owner.clone();
                self.contacts.push(Contact { owner, newest, until, forget_at });
            }
        }
    }

    pub(crate) fn release(&mut self, permit: PermitId, used: Tokens, out: &mut Out) {
        let Some(index) = self.held.iter().position(|held| held.permit == permit) else {
            return;
        };
        let Held { counted_by, .. } = self.held.swap_remove(index);
        for owner in counted_by {
            out.send(&owner, Message::Release { permit, used });
        }
    }

    /// Reports what is held of `upstreams` to `claimer`, and tells owners of whom the claimer may
    /// not know.
    pub(crate) fn report(
        &mut self,
        view: &View,
        claimer: &Instance,
        upstreams: &[Upstream],
        out: &mut Out,
    ) {
        let reports = upstreams.iter().map(|upstream| {
            let agrees = view.owner(upstream) == *claimer;
            self.report_on(upstream, claimer, agrees)
        });
        let reports = reports.collect();
        out.send(claimer, Message::Held(reports));
        for upstream in upstreams {
            let owner = view.owner(upstream);
            if owner != *claimer {
                out.send(&owner, Message::Contest { upstreams: vec![upstream.clone()] });
            }
        }
    }

    fn report_on(&mut self, upstream: &Upstream, owner: &Instance, agrees: bool) -> Report {
        let mut permits = Vec::new();
        for held in self.held.iter_mut().filter(|held| held.upstream == *upstream) {
            if !held.counted_by.contains(owner) {
                held.counted_by.push(owner.clone());
            }
            permits.push(held.permit);
        }
        Report { upstream: upstream.clone(), permits, agrees }
    }

    /// Takes a change of the members: tells new owners and those that returned what is held.
    pub(crate) fn update(&mut self, view: &View, out: &mut Out) {
        let uncounted: Vec<_> = self
            .held
            .iter()
            .filter(|held| !held.counted_by.contains(&view.owner(&held.upstream)))
            .map(|held| held.upstream.clone())
            .collect();
        self.report_to_owners(view, uncounted, out);
        self.greet_returned(view, out);
    }

    /// Reports all held permits to their owners.
    pub(crate) fn report_all(&mut self, view: &View, out: &mut Out) {
        let all = self.held.iter().map(|held| held.upstream.clone()).collect();
        self.report_to_owners(view, all, out);
    }

    fn report_to_owners(&mut self, view: &View, mut upstreams: Vec<Upstream>, out: &mut Out) {
        upstreams.sort();
        upstreams.dedup();
        for upstream in upstreams {
            let owner = view.owner(&upstream);
            let report = self.report_on(&upstream, &owner, false);
            out.send(&owner, Message::Held(vec![report]));
        }
    }

    /// Tells owners from time to time what is held.
    pub(crate) fn tick(&mut self, now: Instant, out: &mut Out) {
        if now >= self.next_reconcile {
            self.next_reconcile = now + RECONCILE_PERIOD;
            self.reconcile(now, out);
        }
    }

    /// Tells each owner that was asked lately what is held of it.
    fn reconcile(&mut self, now: Instant, out: &mut Out) {
        let held = &self.held;
        let is_counted =
            |one: &Contact| held.iter().any(|held| held.counted_by.contains(&one.owner));
        self.contacts.retain(|contact| contact.forget_at > now || is_counted(contact));
        for contact in &self.contacts {
            if contact.until > now || is_counted(contact) {
                out.send(&contact.owner, self.holding(contact));
            }
        }
    }

    /// All that is held of an owner.
    fn holding(&self, contact: &Contact) -> Message {
        let mut reports: Vec<Report> = Vec::new();
        for held in self.held.iter().filter(|held| held.counted_by.contains(&contact.owner)) {
            match reports.iter_mut().find(|report| report.upstream == held.upstream) {
                Some(report) => report.permits.push(held.permit),
                None => reports.push(Report {
                    upstream: held.upstream.clone(),
                    permits: vec![held.permit],
                    agrees: false,
                }),
            }
        }
        Message::Holding { as_of: contact.newest, reports }
    }

    /// Tells owners that were lost from view what was given back meanwhile.
    fn greet_returned(&mut self, view: &View, out: &mut Out) {
        let known = std::mem::replace(&mut self.members, view.members.clone());
        let is_back =
            |one: &&Contact| view.members.contains(&one.owner) && !known.contains(&one.owner);
        for contact in self.contacts.iter().filter(is_back) {
            out.send(&contact.owner, self.holding(contact));
        }
    }

    /// Forgets the permits that an owner's run gave, which has ended.
    pub(crate) fn forget(&mut self, owner: &Instance) {
        self.contacts.retain(|contact| contact.owner != *owner);
        for held in &mut self.held {
            held.counted_by.retain(|other| other != owner);
        }
    }
}
