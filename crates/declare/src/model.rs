//! The declarations themselves and the checks between their parts.

use names::Model;
use serde::{Deserialize, Serialize};
use units::{Rate, Span};

use crate::{Error, KeyHash, Labels, RoleChange, Rollout, Selector};

/// Largest sum of the least shares of all kinds of work, in percent.
const MAX_TOTAL_LEAST_SHARE_PERCENT: u32 = 90;

/// How urgent a kind of work is. Smaller sorts first and is served first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Rank {
    /// Served before all else.
    Urgent,
    /// Served before deferrable work.
    Normal,
    /// Served when nothing else waits, but for its least share.
    Deferrable,
}

/// What answers a service's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawTarget", into = "RawTarget")]
pub enum Target {
    /// Model engines that serve this model.
    Model(Model),
    /// Plain upstreams whose labels match.
    Upstreams(Selector),
}

/// A target as it stands in YAML: exactly one of the fields.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTarget {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    model: Option<Model>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    upstreams: Option<Selector>,
}

impl TryFrom<RawTarget> for Target {
    type Error = Error;

    fn try_from(raw: RawTarget) -> Result<Self, Error> {
        match (raw.model, raw.upstreams) {
            (Some(model), None) => Ok(Target::Model(model)),
            (None, Some(selector)) => Ok(Target::Upstreams(selector)),
            _ => Err(Error::Value {
                place: "target".to_string(),
                problem: "it needs exactly one of model and upstreams".to_string(),
                help: "write `model: NAME` or `upstreams: SELECTOR`",
            }),
        }
    }
}

impl From<Target> for RawTarget {
    fn from(target: Target) -> Self {
        match target {
            Target::Model(model) => Self { model: Some(model), upstreams: None },
            Target::Upstreams(selector) => Self { model: None, upstreams: Some(selector) },
        }
    }
}

/// A service that callers address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, which callers use as the model's name or in the path.
    pub name: names::Service,
    /// What answers its requests.
    pub target: Target,
    /// The kind of work of requests that name none.
    pub kind: names::Kind,
    /// Whether a call of it may be repeated without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub name: names::ClientAccount,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Its share relative to other accounts in a queue.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests that it may make, fleet-wide.
    #[serde(default)]
    pub limit: Option<Rate>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

fn default_weight() -> u32 {
    1
}

/// A kind of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: names::Kind,
    /// How urgent it is.
    pub rank: Rank,
    /// How long after its arrival an answer still counts.
    pub deadline: Span,
    /// Share of each upstream that it keeps in a flood of other work, in percent.
    #[serde(default)]
    pub least_share_percent: u32,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// All declarations of one revision, each list sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Services that callers address.
    pub services: Vec<Service>,
    /// Client accounts.
    pub client_accounts: Vec<ClientAccount>,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Upstreams that get no new work, chosen by their labels.
    pub drains: Vec<Selector>,
    /// Models that engines are to load.
    pub rollouts: Vec<Rollout>,
    /// Roles that engines are to have.
    pub role_changes: Vec<RoleChange>,
    /// Owners of API keys, sorted by hash; built when the declarations are checked.
    #[serde(skip)]
    owners: Vec<KeyOwner>,
}

/// The client account that an API key belongs to, by its position in the list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct KeyOwner {
    hash: KeyHash,
    account: usize,
}

impl Declarations {
    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|item| item.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }

    /// The kind of work called `name`.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        let index = self.kinds.binary_search_by(|item| item.name.as_str().cmp(name)).ok()?;
        self.kinds.get(index)
    }

    /// The client account that `key` belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&ClientAccount> {
        let hash = KeyHash::of(key);
        let index = self.owners.binary_search_by(|owner| owner.hash.cmp(&hash)).ok()?;
        self.client_accounts.get(self.owners[index].account)
    }

    /// Whether a declared drain keeps new work from an upstream with `labels`.
    pub fn is_drained(&self, labels: &Labels) -> bool {
        self.drains.iter().any(|selector| selector.matches(labels))
    }

    /// The declarations with each list sorted and every reference checked.
    ///
    /// # Errors
    ///
    /// When a name stands twice, a reference leads nowhere or a value is out of range.
    pub fn checked(mut self) -> Result<Self, Error> {
        self.sort();
        self.check()?;
        Ok(self)
    }

    /// Reads one of several files that together are the declarations; references are not checked.
    ///
    /// # Errors
    ///
    /// [`Error::Form`] when the text is not YAML of the documented form.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(serde_norway::from_str(text)?)
    }

    /// Adds the lists of `other` behind those of these declarations.
    pub fn append(&mut self, other: Self) {
        self.services.extend(other.services);
        self.client_accounts.extend(other.client_accounts);
        self.kinds.extend(other.kinds);
        self.drains.extend(other.drains);
        self.rollouts.extend(other.rollouts);
        self.role_changes.extend(other.role_changes);
    }

    /// The declarations as YAML.
    ///
    /// # Errors
    ///
    /// [`Error::Form`] when they cannot be written.
    pub fn to_yaml(&self) -> Result<String, Error> {
        Ok(serde_norway::to_string(self)?)
    }

    fn sort(&mut self) {
        self.services.sort_by(|left, right| left.name.cmp(&right.name));
        self.client_accounts.sort_by(|left, right| left.name.cmp(&right.name));
        self.kinds.sort_by(|left, right| left.name.cmp(&right.name));
        self.drains.sort_by_key(Selector::to_string);
        self.drains.dedup();
        self.rollouts.sort_by(|left, right| left.model.cmp(&right.model));
        self.role_changes.sort_by(|left, right| left.role.cmp(&right.role));
        self.owners = self.key_owners();
    }

    fn key_owners(&self) -> Vec<KeyOwner> {
        let accounts = self.client_accounts.iter().enumerate();
        let mut owners: Vec<KeyOwner> = accounts
            .flat_map(|(account, declared)| {
                declared.keys.iter().map(move |hash| KeyOwner { hash: hash.clone(), account })
            })
            .collect();
        owners.sort();
        owners
    }

    fn check(&self) -> Result<(), Error> {
        check_once("service", self.services.iter().map(|item| item.name.as_str()))?;
        check_once("client account", self.client_accounts.iter().map(|item| item.name.as_str()))?;
        check_once("kind of work", self.kinds.iter().map(|item| item.name.as_str()))?;
        check_once("key hash", self.owners.iter().map(|owner| owner.hash.as_str()))?;
        self.check_service_kinds()?;
        check_once("rollout", self.rollouts.iter().map(|item| item.model.as_str()))?;
        self.check_drains()?;
        self.rollouts.iter().try_for_each(Rollout::check)?;
        check_once("role change", self.role_changes.iter().map(|item| item.role.as_str()))?;
        self.role_changes.iter().try_for_each(RoleChange::check)?;
        self.check_least_shares()
    }

    fn check_service_kinds(&self) -> Result<(), Error> {
        let unknown = self.services.iter().find(|item| self.kind(item.kind.as_str()).is_none());
        match unknown {
            Some(service) => Err(Error::Unknown {
                place: format!("service \"{}\"", service.name),
                what: "kind of work",
                name: service.kind.to_string(),
            }),
            None => Ok(()),
        }
    }

    fn check_drains(&self) -> Result<(), Error> {
        if self.drains.iter().all(|selector| !selector.is_empty()) {
            return Ok(());
        }
        Err(Error::Value {
            place: "drains".to_string(),
            problem: "an empty selector matches every upstream".to_string(),
            help: "name at least one label",
        })
    }

    fn check_least_shares(&self) -> Result<(), Error> {
        let total: u32 = self.kinds.iter().map(|kind| kind.least_share_percent).sum();
        if total <= MAX_TOTAL_LEAST_SHARE_PERCENT {
            return Ok(());
        }
        Err(Error::Value {
            place: "kinds".to_string(),
            problem: format!("the least shares add up to {total} percent"),
            help: "keep their sum at 90 percent or less",
        })
    }
}

fn check_once<'a, I>(what: &'static str, sorted: I) -> Result<(), Error>
where
    I: Iterator<Item = &'a str>,
{
    let mut previous = None;
    for name in sorted {
        if previous == Some(name) {
            return Err(Error::Twice { what, name: name.to_string() });
        }
        previous = Some(name);
    }
    Ok(())
}

impl TryFrom<String> for Declarations {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::parse(&text)?.checked()
    }
}
