//! Flap damping: instances that restart or become unreachable too often are set aside and take no
//! duties for a while. A set-aside instance is notified and announces itself as draining, so that
//! all members agree on which instances have duties.

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};

use super::{Detector, MAX_SET_ASIDE};
use crate::Message;
use crate::record::Record;

/// Time for which an instance takes no duties after the last notification.
const SET_ASIDE_DURATION: Duration = Duration::from_secs(10);

/// Number of rounds between two notifications of the same instance.
const NOTIFY_INTERVAL_ROUNDS: u64 = 4;

impl Detector {
    /// Updates which instances are set aside, and notifies the newly set-aside ones. A later
    /// incarnation is notified when it becomes a member.
    pub(super) fn update_damping(&mut self, now: Instant) {
        let mut set_aside =
            self.records.iter().filter(|record| record.damping.is_set_aside()).count();
        let mut newly_set_aside = Vec::new();
        for record in &mut self.records {
            let was_aside = record.damping.is_set_aside();
            record.damping.update(now, set_aside < MAX_SET_ASIDE);
            self.changes += u64::from(record.damping.is_set_aside() != was_aside);
            if record.damping.is_set_aside() && !was_aside {
                set_aside += 1;
                newly_set_aside.push(record.run_id());
            }
        }
        self.notify_set_aside(newly_set_aside);
    }

    /// Repeats the notification of all instances that are set aside, every
    /// [`NOTIFY_INTERVAL_ROUNDS`] rounds.
    pub(super) fn renotify_set_aside(&mut self) {
        if !self.round.is_multiple_of(NOTIFY_INTERVAL_ROUNDS) {
            return;
        }
        let set_aside = self.up().filter(|record| record.damping.is_set_aside());
        let set_aside: Vec<_> = set_aside.map(Record::run_id).collect();
        self.notify_set_aside(set_aside);
    }

    /// Notifies these incarnations of instances that they are set aside.
    pub(super) fn notify_set_aside<I>(&mut self, runs: I)
    where
        I: IntoIterator<Item = (Instance, Incarnation)>,
    {
        for (instance, incarnation) in runs {
            self.send(&instance, Message::SetAside { incarnation });
        }
    }

    /// Handles the notification that a member set this incarnation of the local instance aside.
    pub(super) fn handle_set_aside(&mut self, now: Instant, incarnation: Incarnation) {
        if incarnation != self.me.incarnation || self.is_stopping {
            return;
        }
        if self.set_aside_until.replace(now + SET_ASIDE_DURATION).is_none() {
            self.set_draining(true);
        }
    }

    /// Takes duties again after [`SET_ASIDE_DURATION`] without a further notification.
    pub(super) fn check_set_aside_expiry(&mut self, now: Instant) {
        let is_over = self.set_aside_until.take_if(|until| *until <= now).is_some();
        if is_over && !self.is_stopping {
            self.set_draining(false);
        }
    }

    /// Announces to all members whether the local instance takes duties.
    pub(super) fn set_draining(&mut self, is_draining: bool) {
        self.me.is_draining = is_draining;
        self.me.refutations += 1;
        self.announce();
    }
}
