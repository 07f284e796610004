//! Per-instance records of the failure detector.

use std::net::SocketAddr;
use std::time::Instant;

use damping::Damping;
use names::{DataCentre, Incarnation, Instance};

use crate::{MemberState, Status};

/// An instance and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: Instance,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Address on which the instance listens for frames.
    pub address: SocketAddr,
    /// Whether the instance has the control role.
    pub is_control: bool,
    /// Incarnation (run) of the instance, or 0 if no state of it has been received.
    pub incarnation: Incarnation,
    /// Whether the instance takes no new duties, because it is about to stop or is set aside for
    /// flapping.
    pub is_draining: bool,
}

/// State of an instance together with the detector's own data about it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) state: MemberState,
    /// Time at which a suspected instance becomes dead, or the record of a dead one is removed.
    pub(crate) deadline: Option<Instant>,
    /// Whether the instance is listed in the settings. The record of such an instance is never
    /// removed and keeps the configured address.
    pub(crate) is_configured: bool,
    /// Whether the current incarnation acknowledged a ping of the local instance.
    pub(crate) has_acked: bool,
    pub(crate) damping: Damping,
}

impl Record {
    pub(crate) fn new(state: MemberState, is_configured: bool, now: Instant) -> Self {
        let damping = Damping::new(now);
        Self { state, deadline: None, is_configured, has_acked: false, damping }
    }

    /// Creates the record of a configured instance of which no state has been received.
    pub(crate) fn configured(member: Member, now: Instant) -> Self {
        let state = MemberState {
            instance: member.instance,
            data_centre: member.data_centre,
            address: member.address,
            is_control: member.is_control,
            incarnation: Incarnation(0),
            refutations: 0,
            status: Status::Dead,
            is_draining: false,
        };
        Self::new(state, true, now)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.state.status.is_up()
    }

    /// Returns the name and the incarnation of the instance.
    pub(crate) fn run_id(&self) -> (Instance, Incarnation) {
        (self.state.instance.clone(), self.state.incarnation)
    }

    pub(crate) fn member(&self) -> Member {
        Member {
            instance: self.state.instance.clone(),
            data_centre: self.state.data_centre.clone(),
            address: self.state.address,
            is_control: self.state.is_control,
            incarnation: self.state.incarnation,
            is_draining: self.state.is_draining || self.damping.is_set_aside(),
        }
    }
}
