//! What a detector keeps about each instance.

use std::net::SocketAddr;
use std::time::Instant;

use damping::Damping;
use names::{DataCentre, Incarnation, Instance};

use crate::{Rumour, Status};

/// An instance and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where it listens for frames.
    pub address: SocketAddr,
    /// Whether it has the control role.
    pub is_control: bool,
    /// Its run; 0 while it was never heard of.
    pub incarnation: Incarnation,
    /// Whether it takes no new duties, before a planned stop or since it came and went too often.
    pub is_draining: bool,
}

/// A belief with what the detector needs for it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) belief: Rumour,
    /// When a suspicion ends in death, or a death is forgotten.
    pub(crate) deadline: Option<Instant>,
    /// Whether the instance's address came from the settings, which keeps it.
    pub(crate) is_configured: bool,
    /// Whether the incarnation answered a ping of this instance.
    pub(crate) has_answered: bool,
    pub(crate) damping: Damping,
}

impl Record {
    pub(crate) fn new(belief: Rumour, is_configured: bool, now: Instant) -> Self {
        let damping = Damping::new(now);
        Self { belief, deadline: None, is_configured, has_answered: false, damping }
    }

    /// A record of an instance that is known by name only.
    pub(crate) fn unheard(member: Member, now: Instant) -> Self {
        let belief = Rumour {
            instance: member.instance,
            data_centre: member.data_centre,
            address: member.address,
            is_control: member.is_control,
            incarnation: Incarnation(0),
            refutations: 0,
            status: Status::Dead,
            is_draining: false,
        };
        Self::new(belief, true, now)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.belief.status.is_up()
    }

    /// The run that is told when the instance is set aside.
    pub(crate) fn told(&self) -> (Instance, Incarnation) {
        (self.belief.instance.clone(), self.belief.incarnation)
    }

    pub(crate) fn member(&self) -> Member {
        Member {
            instance: self.belief.instance.clone(),
            data_centre: self.belief.data_centre.clone(),
            address: self.belief.address,
            is_control: self.belief.is_control,
            incarnation: self.belief.incarnation,
            is_draining: self.belief.is_draining || self.damping.is_aside(),
        }
    }
}
