//! What upstreams say of themselves.

use std::net::SocketAddr;

use declare::Labels;
use names::{DataCentre, Incarnation, Model, Upstream};
use serde::{Deserialize, Serialize};
use units::Span;

use crate::Error;

/// Longest time that an announcement may hold.
const MAX_EXPIRY: Span = Span::from_seconds(300);

/// Shortest time that an announcement may hold.
const MIN_EXPIRY: Span = Span::from_millis(500);

/// How an upstream is spoken to.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// A model engine that speaks the chat-completions format.
    ChatCompletions,
    /// A plain service over HTTP.
    Plain,
}

/// An upstream's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name, unique in the fleet.
    pub upstream: Upstream,
    /// Its run: a restarted upstream gives a greater one.
    pub incarnation: Incarnation,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// How it is spoken to.
    pub protocol: Protocol,
    /// The models that it serves.
    #[serde(default)]
    pub models: Vec<Model>,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
    /// How long the announcement holds from its arrival.
    pub expires_in: Span,
    /// Whether it wants no new work.
    #[serde(default)]
    pub is_leaving: bool,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it exports and imports cached context.
    #[serde(default)]
    pub moves_context: bool,
}

impl Announcement {
    fn check(&self) -> Result<(), Error> {
        let value = |problem: String, help| Error::Value {
            upstream: self.upstream.to_string(),
            problem,
            help,
        };
        if self.slots == 0 {
            return Err(value("slots is 0".to_string(), "give at least 1"));
        }
        if self.expires_in < MIN_EXPIRY || self.expires_in > MAX_EXPIRY {
            let problem = format!("expires_in {} is out of range", self.expires_in);
            return Err(value(problem, "give 500ms to 5m"));
        }
        let needs_model = self.protocol == Protocol::ChatCompletions;
        if needs_model && self.models.is_empty() {
            return Err(value("an engine needs a model".to_string(), "list its models"));
        }
        Ok(())
    }
}

impl TryFrom<&[u8]> for Announcement {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        let announcement: Self = serde_json::from_slice(body)
            .map_err(|source| Error::Form { what: "announcement", source })?;
        announcement.check()?;
        Ok(announcement)
    }
}

/// An upstream's report of its load, which lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The reporting upstream.
    pub upstream: Upstream,
    /// Its run.
    pub incarnation: Incarnation,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Prompt blocks found in its cache since its start.
    #[serde(default)]
    pub cached_blocks: u64,
    /// Prompt blocks computed since its start.
    #[serde(default)]
    pub computed_blocks: u64,
}

impl TryFrom<&[u8]> for Load {
    type Error = Error;

    fn try_from(body: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(body).map_err(|source| Error::Form { what: "load report", source })
    }
}
