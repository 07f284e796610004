//! What engines are to be ordered, step by step.

use names::Model;
use serde::{Deserialize, Serialize};
use units::Span;

use crate::{Error, Selector};

/// The label by which an engine announces its role.
pub const ROLE_LABEL: &str = "role";

/// What engines are to do with a model.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load it.
    #[default]
    Load,
    /// Drop it; an engine's only model is never dropped.
    Unload,
}

impl Action {
    fn is_load(&self) -> bool {
        *self == Self::Load
    }
}

/// A model that engines are to load or drop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The model, with its version where it has one.
    pub model: Model,
    /// What to do with it.
    #[serde(default, skip_serializing_if = "Action::is_load")]
    pub action: Action,
    /// The engines, chosen by their labels.
    pub upstreams: Selector,
    /// How many engines of a data centre load or drop it at the same time.
    #[serde(default = "default_at_once")]
    pub at_once: u32,
    /// Least time between two orders in a data centre, which bounds the load of the weight store.
    #[serde(default = "default_interval")]
    pub interval: Span,
}

fn default_at_once() -> u32 {
    1
}

fn default_interval() -> Span {
    Span::from_seconds(1)
}

/// A role that engines are to have, such as `prefill` or `decode`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleChange {
    /// The role, as engines announce it in their label [`ROLE_LABEL`].
    pub role: String,
    /// The engines, chosen by their other labels.
    pub upstreams: Selector,
    /// How many engines of a data centre change at the same time.
    #[serde(default = "default_at_once")]
    pub at_once: u32,
    /// Least time between two orders in a data centre.
    #[serde(default = "default_interval")]
    pub interval: Span,
}

impl Rollout {
    pub(crate) fn check(&self) -> Result<(), Error> {
        check_at_once(|| format!("rollout \"{}\"", self.model), self.at_once)
    }
}

impl RoleChange {
    pub(crate) fn check(&self) -> Result<(), Error> {
        let place = || format!("role change \"{}\"", self.role);
        let is_valid = |character: char| character.is_ascii_alphanumeric() || character == '-';
        if self.role.is_empty() || !self.role.chars().all(is_valid) {
            return Err(Error::Value {
                place: place(),
                problem: "the role is empty or has other characters".to_string(),
                help: "use letters, digits and hyphens",
            });
        }
        if self.upstreams.concerns(ROLE_LABEL) {
            return Err(Error::Value {
                place: place(),
                problem: format!("it chooses by the label \"{ROLE_LABEL}\", which it changes"),
                help: "choose by other labels",
            });
        }
        check_at_once(place, self.at_once)
    }
}

fn check_at_once<P>(place: P, at_once: u32) -> Result<(), Error>
where
    P: FnOnce() -> String,
{
    if at_once > 0 {
        return Ok(());
    }
    Err(Error::Value {
        place: place(),
        problem: "at_once is 0".to_string(),
        help: "give at least 1",
    })
}
