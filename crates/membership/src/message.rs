//! What instances tell each other about membership.

use std::net::SocketAddr;

use names::{DataCentre, Incarnation, Instance};
use serde::{Deserialize, Serialize};

/// What is believed of an instance. A greater one wins at equal incarnation and refutations.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer a probe and may refute the suspicion.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It announced a planned leave; final for its incarnation.
    Left,
}

impl Status {
    /// Whether the instance counts as a member.
    pub fn is_up(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One belief about an instance, as it is spread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The instance.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where it listens for frames.
    pub address: SocketAddr,
    /// Whether it has the control role.
    pub is_control: bool,
    /// Its run.
    pub incarnation: Incarnation,
    /// How often it refuted a suspicion in this run.
    pub refutations: u32,
    /// What is believed of it.
    pub status: Status,
    /// Whether it takes no new duties, before a planned stop or since it was set aside.
    pub is_draining: bool,
}

impl Rumour {
    fn precedence(&self) -> (Incarnation, bool, u32, Status) {
        (self.incarnation, self.status == Status::Left, self.refutations, self.status)
    }

    /// Whether this belief replaces `other` about the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }
}

/// A message between detectors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Repeated in the answer.
        sequence: u64,
        /// Hash of the sender's view.
        digest: u64,
        /// Bounded news.
        rumours: Vec<Rumour>,
    },
    /// Answers a ping, one's own or that of another instance.
    Ack {
        /// Sequence of the ping.
        sequence: u64,
        /// Hash of the sender's view.
        digest: u64,
        /// Bounded news.
        rumours: Vec<Rumour>,
    },
    /// Asks for a ping of `target` on the sender's behalf.
    Relay {
        /// Sequence of the sender's ping.
        sequence: u64,
        /// The instance that did not answer the sender.
        target: Instance,
    },
    /// The sender's whole view, on a reliable transport.
    View {
        /// All beliefs.
        rumours: Vec<Rumour>,
        /// Whether the receiver's view is wanted in return.
        wants_answer: bool,
    },
    /// Some of the sender's beliefs, in place of a whole view: those that the receiver needs to find
    /// the others.
    Sample {
        /// These beliefs.
        rumours: Vec<Rumour>,
    },
    /// The receiver came and went too often and is to take no duties for a while.
    SetAside {
        /// The run that is meant.
        incarnation: Incarnation,
    },
}
