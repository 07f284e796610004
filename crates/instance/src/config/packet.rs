//! Messages between the actors that keep the declarations of two instances.

use declare::{Message, Revision};
use serde::{Deserialize, Serialize};
use wire::Transport;

/// Largest packet that travels as a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1100;

/// What an instance tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Revision in force.
    pub(crate) in_force: Revision,
    /// Requests that are not answered yet.
    pub(crate) active: u64,
}

/// A reading request of an operator, passed on to a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Passed {
    /// Number that the answer carries too.
    pub(crate) id: u64,
    /// The request's path.
    pub(crate) path: String,
    /// The request's query.
    pub(crate) query: String,
}

/// A voter's answer to a passed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Told {
    /// Number of the request.
    pub(crate) id: u64,
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON.
    pub(crate) body: Vec<u8>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// How revisions spread.
    Gossip(Message),
    /// Asks for the receiver's status.
    Probe,
    /// Answers a probe.
    Status(Status),
    /// Asks a voter to answer an operator.
    Passed(Passed),
    /// A voter's answer.
    Told(Told),
}

/// How a packet of `length` bytes travels.
pub(crate) fn transport(length: usize) -> Transport {
    if length <= MAX_DATAGRAM_BYTES { Transport::Udp } else { Transport::Tcp }
}
