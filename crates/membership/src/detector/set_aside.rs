//! Instances that come and go too often take no duties for a while. They are told, and say it of
//! themselves, so that all members agree on who has duties.

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};

use super::{Detector, MAX_ASIDE};
use crate::Message;
use crate::record::Record;

/// How long an instance takes no duties after it was told for the last time.
const ASIDE_TIME: Duration = Duration::from_secs(10);

/// Rounds between two times that an instance is told.
const TELL_ROUNDS: u64 = 4;

impl Detector {
    /// Sets aside what flaps, and tells it at once; a further run of it is told when it is met.
    pub(super) fn update_damping(&mut self, now: Instant) {
        let mut aside = self.records.iter().filter(|record| record.damping.is_aside()).count();
        let mut told = Vec::new();
        for record in &mut self.records {
            let was_aside = record.damping.is_aside();
            record.damping.update(now, aside < MAX_ASIDE);
            self.changes += u64::from(record.damping.is_aside() != was_aside);
            if record.damping.is_aside() && !was_aside {
                aside += 1;
                told.push(record.told());
            }
        }
        self.tell(told);
    }

    /// Tells the instances that are set aside, again and again while they are.
    pub(super) fn tell_aside(&mut self) {
        if !self.round.is_multiple_of(TELL_ROUNDS) {
            return;
        }
        let aside = self.up().filter(|record| record.damping.is_aside());
        let aside: Vec<_> = aside.map(Record::told).collect();
        self.tell(aside);
    }

    /// Tells those runs of instances that they are set aside.
    pub(super) fn tell<I>(&mut self, aside: I)
    where
        I: IntoIterator<Item = (Instance, Incarnation)>,
    {
        for (instance, incarnation) in aside {
            self.send(&instance, Message::SetAside { incarnation });
        }
    }

    /// Takes note that a member set that run of this instance aside.
    pub(super) fn set_aside(&mut self, now: Instant, incarnation: Incarnation) {
        if incarnation != self.me.incarnation || self.is_stopping {
            return;
        }
        if self.aside_until.replace(now + ASIDE_TIME).is_none() {
            self.declare_draining(true);
        }
    }

    /// Takes duties again once no member has set this instance aside for long.
    pub(super) fn check_aside(&mut self, now: Instant) {
        let is_over = self.aside_until.take_if(|until| *until <= now).is_some();
        if is_over && !self.is_stopping {
            self.declare_draining(false);
        }
    }

    /// Tells all members whether this instance takes duties.
    pub(super) fn declare_draining(&mut self, is_draining: bool) {
        self.me.is_draining = is_draining;
        self.me.refutations += 1;
        self.announce();
    }
}
