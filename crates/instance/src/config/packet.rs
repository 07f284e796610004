//! Messages about declarations between instances.

use declare::{Message, Revision};
use serde::{Deserialize, Serialize};
use wire::Transport;

/// Maximum size of a packet that is sent as a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1100;

/// Status that an instance reports in response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Revision that is in force at the instance.
    pub(crate) in_force: Revision,
    /// Number of callers' requests that have no response yet.
    pub(crate) active: u64,
}

/// An operator's read request, forwarded to a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedRead {
    /// Identifier that the response repeats.
    pub(crate) id: u64,
    /// Path of the request.
    pub(crate) path: String,
    /// Query of the request.
    pub(crate) query: String,
}

/// A voter's response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedResponse {
    /// Identifier of the request.
    pub(crate) id: u64,
    /// HTTP status code.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Vec<u8>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// Gossip about revisions.
    Gossip(Message),
    /// Requests the receiver's status.
    Probe,
    /// Response to [`Packet::Probe`].
    Status(Status),
    /// Forwards a read request to a voter.
    ForwardedRead(ForwardedRead),
    /// Response to [`Packet::ForwardedRead`].
    ForwardedResponse(ForwardedResponse),
}

/// Returns the transport for a packet of `length` bytes.
pub(crate) fn transport(length: usize) -> Transport {
    if length <= MAX_DATAGRAM_BYTES { Transport::Udp } else { Transport::Tcp }
}
