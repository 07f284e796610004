//! Messages that instances exchange about membership.

use std::net::SocketAddr;

use names::{DataCentre, Incarnation, Instance};
use serde::{Deserialize, Serialize};

/// Status of an instance. At equal incarnation and refutations, the greater status takes
/// precedence.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The instance responds to probes.
    Alive,
    /// The instance did not acknowledge a probe and may refute the suspicion.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Dead,
    /// The instance announced a planned leave. This status is final for the incarnation.
    Left,
}

impl Status {
    /// Returns whether an instance with this status counts as a member.
    pub fn is_up(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// State of an instance, as spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// Name of the instance.
    pub instance: Instance,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Address on which the instance listens for frames.
    pub address: SocketAddr,
    /// Whether the instance has the control role.
    pub is_control: bool,
    /// Incarnation (run) of the instance.
    pub incarnation: Incarnation,
    /// Number of updates that the instance issued about itself in this incarnation, to refute a
    /// suspicion or to change `is_draining`.
    pub refutations: u32,
    /// Status of the instance.
    pub status: Status,
    /// Whether the instance takes no new duties, because it is about to stop or is set aside.
    pub is_draining: bool,
}

impl MemberState {
    fn precedence(&self) -> (Incarnation, bool, u32, Status) {
        (self.incarnation, self.status == Status::Left, self.refutations, self.status)
    }

    /// Returns whether this state replaces the state `other` of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }
}

/// A message between detectors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    Ping {
        /// Sequence number, which the ack repeats.
        sequence: u64,
        /// Hash of the sender's view.
        digest: u64,
        /// Limited number of state updates.
        updates: Vec<MemberState>,
    },
    /// Acknowledges a ping, either directly or on behalf of the instance that a relay pinged.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Hash of the sender's view.
        digest: u64,
        /// Limited number of state updates.
        updates: Vec<MemberState>,
    },
    /// Requests a ping of `target` on behalf of the sender.
    PingRequest {
        /// Sequence number of the sender's ping.
        sequence: u64,
        /// Instance that did not acknowledge the sender's ping.
        target: Instance,
    },
    /// The sender's full view, sent on a reliable transport.
    View {
        /// States of all known instances.
        updates: Vec<MemberState>,
        /// Whether the receiver should send its view in return.
        wants_reply: bool,
    },
    /// A part of the sender's view, sent in place of the full view, from which the receiver can
    /// find the other instances.
    Sample {
        /// States of some known instances.
        updates: Vec<MemberState>,
    },
    /// The receiver restarted or became unreachable too often and must take no duties for a while.
    SetAside {
        /// Incarnation that is set aside.
        incarnation: Incarnation,
    },
}
