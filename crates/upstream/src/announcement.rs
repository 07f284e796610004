//! Announcements and load reports of upstreams.

use std::net::SocketAddr;

use declare::Labels;
use names::{DataCentre, Incarnation, Model, Upstream};
use serde::{Deserialize, Serialize};
use units::Span;

use crate::Error;

/// Longest time for which an announcement may be valid.
const MAX_EXPIRY: Span = Span::from_seconds(300);

/// Shortest time for which an announcement may be valid.
const MIN_EXPIRY: Span = Span::from_millis(500);

/// Maximum number of slots of an upstream.
const MAX_SLOTS: u32 = 1_000_000;

/// Maximum incarnation, which leaves room for clocks in nanoseconds. Nothing could supersede the
/// greatest number.
const MAX_INCARNATION: Incarnation = Incarnation(i64::MAX as u64);

/// Protocol of an upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// A model engine with the chat-completions interface.
    ChatCompletions,
    /// A plain HTTP service.
    Plain,
}

/// An upstream's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream, unique in the fleet.
    pub upstream: Upstream,
    /// Incarnation of the upstream, which grows with each restart.
    pub incarnation: Incarnation,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Address on which the upstream accepts calls.
    pub address: SocketAddr,
    /// Protocol of the calls.
    pub protocol: Protocol,
    /// Models that the upstream serves.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Time from its arrival until the announcement expires.
    pub expires_in: Span,
    /// Whether the upstream is draining and accepts no new work.
    #[serde(default)]
    pub is_leaving: bool,
    /// Whether the upstream refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the upstream can export and import cached context.
    #[serde(default)]
    pub moves_context: bool,
}

impl Announcement {
    /// Checks the ranges of the values.
    fn check(&self) -> Result<(), Error> {
        let value_error = |problem: String, help| Error::InvalidValue {
            upstream: self.upstream.to_string(),
            problem,
            help,
        };
        if self.slots == 0 {
            return Err(value_error("slots is 0".to_string(), "give at least 1"));
        }
        if self.slots > MAX_SLOTS {
            let problem = format!("slots is {}", self.slots);
            return Err(value_error(problem, "give at most 1000000"));
        }
        if self.incarnation > MAX_INCARNATION {
            let problem = format!("incarnation is {}", self.incarnation.0);
            return Err(value_error(problem, "give at most 9223372036854775807"));
        }
        if !names::is_connectable(self.address) {
            let problem = format!("address {} cannot be connected to", self.address);
            return Err(value_error(problem, "give the IP address and the port of the upstream"));
        }
        if self.expires_in < MIN_EXPIRY || self.expires_in > MAX_EXPIRY {
            let problem = format!("expires_in {} is out of range", self.expires_in);
            return Err(value_error(problem, "give 500ms to 5m"));
        }
        let needs_model = self.protocol == Protocol::ChatCompletions;
        if needs_model && self.models.is_empty() {
            return Err(value_error("an engine needs a model".to_string(), "list its models"));
        }
        Ok(())
    }
}

impl TryFrom<&[u8]> for Announcement {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        let announcement: Self = serde_json::from_slice(body)
            .map_err(|source| Error::InvalidFormat { what: "announcement", source })?;
        announcement.check()?;
        Ok(announcement)
    }
}

/// An upstream's report of its load. Reports lag behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the reporting upstream.
    pub upstream: Upstream,
    /// Incarnation of the reporting upstream.
    pub incarnation: Incarnation,
    /// Number of requests that the upstream is processing.
    pub running: u32,
    /// Number of requests in the queue of the upstream.
    pub waiting: u32,
    /// Number of prompt blocks found in the cache since the upstream started.
    #[serde(default)]
    pub cached_blocks: u64,
    /// Number of prompt blocks computed since the upstream started.
    #[serde(default)]
    pub computed_blocks: u64,
}

impl TryFrom<&[u8]> for Load {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body)
            .map_err(|source| Error::InvalidFormat { what: "load report", source })
    }
}
