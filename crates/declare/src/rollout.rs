//! Declared changes of models and roles that are rolled out to engines gradually.

use names::Model;
use serde::{Deserialize, Serialize};
use units::Span;

use crate::{Error, Selector};

/// Label with which an engine announces its role.
pub const ROLE_LABEL: &str = "role";

/// Action of an engine on a model.
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
    /// Loads the model.
    #[default]
    Load,
    /// Unloads the model. The only model of an engine is never unloaded.
    Unload,
}

impl Action {
    fn is_load(&self) -> bool {
        *self == Self::Load
    }
}

/// A model that engines load or unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the model, with its version if it has one.
    pub model: Model,
    /// Whether the model is loaded or unloaded.
    #[serde(default, skip_serializing_if = "Action::is_load")]
    pub action: Action,
    /// Selector of the engines.
    pub upstreams: Selector,
    /// Maximum number of engines of a data centre that load or unload the model at the same time.
    #[serde(default = "default_at_once")]
    pub at_once: u32,
    /// Minimum time between two orders in a data centre, which limits the load of the weight store.
    #[serde(default = "default_interval")]
    pub interval: Span,
}

fn default_at_once() -> u32 {
    1
}

fn default_interval() -> Span {
    Span::from_seconds(1)
}

/// A role that engines change to, such as `prefill` or `decode`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleChange {
    /// Name of the role, which engines announce in the label [`ROLE_LABEL`].
    pub role: String,
    /// Selector of the engines, which must not use the label [`ROLE_LABEL`].
    pub upstreams: Selector,
    /// Maximum number of engines of a data centre that change their role at the same time.
    #[serde(default = "default_at_once")]
    pub at_once: u32,
    /// Minimum time between two orders in a data centre.
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
            return Err(Error::InvalidValue {
                place: place(),
                problem: "the role is empty or has other characters".to_string(),
                help: "use letters, digits and hyphens",
            });
        }
        if self.upstreams.uses_label(ROLE_LABEL) {
            return Err(Error::InvalidValue {
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
    Err(Error::InvalidValue {
        place: place(),
        problem: "at_once is 0".to_string(),
        help: "give at least 1",
    })
}
