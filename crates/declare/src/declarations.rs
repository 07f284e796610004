//! The declarations and their validation.

use names::Model;
use serde::{Deserialize, Serialize};
use units::{Rate, Span};

use crate::{Error, Errors, KeyHash, Labels, RoleChange, Rollout, Selector};

/// Maximum sum of the minimum shares of all kinds of work, in percent.
const MAX_TOTAL_MIN_SHARE_PERCENT: u64 = 90;

/// Maximum number of brackets that are open at a time. Declarations need fewer than ten.
const MAX_OPEN_BRACKETS: usize = 64;

/// Priority of a kind of work. Lower values are served first.
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
    /// Served before all other work.
    Urgent,
    /// Served before deferrable work.
    Normal,
    /// Served when no other work is queued, apart from its minimum share.
    Deferrable,
}

/// Upstreams that serve the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawTarget", into = "RawTarget")]
pub enum Target {
    /// Model engines that serve the given model.
    Model(Model),
    /// Plain upstreams whose labels match the selector.
    Upstreams(Selector),
}

/// YAML form of a target; exactly one of the fields must be set.
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
            _ => Err(Error::InvalidValue {
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
    /// Name of the service, which callers use as the model name or in the path.
    pub name: names::Service,
    /// Upstreams that serve the requests.
    pub target: Target,
    /// Default kind of work for requests that specify none.
    pub kind: names::Kind,
    /// Whether requests are idempotent and may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A client account with its API keys and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: names::ClientAccount,
    /// Hashes of the API keys of the account.
    pub keys: Vec<KeyHash>,
    /// Weight of the account relative to other accounts in a queue.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum rate of requests from the account across the fleet.
    #[serde(default)]
    pub limit: Option<Rate>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

fn default_weight() -> u32 {
    1
}

/// A kind of work with its priority and deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind of work.
    pub name: names::Kind,
    /// Priority of the work.
    pub rank: Rank,
    /// Time after the arrival of a request within which a response is useful.
    pub deadline: Span,
    /// Minimum share of each upstream that is reserved under overload by other work, in percent.
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
    /// Selectors of the upstreams that receive no new work.
    pub drains: Vec<Selector>,
    /// Models that engines load or unload.
    pub rollouts: Vec<Rollout>,
    /// Changes of the role of engines.
    pub role_changes: Vec<RoleChange>,
    /// Owners of the API keys, sorted by hash; built during validation.
    #[serde(skip)]
    owners: Vec<KeyOwner>,
}

/// Index entry that assigns an API key to its client account.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct KeyOwner {
    hash: KeyHash,
    /// Index in `Declarations::client_accounts`.
    account: usize,
}

impl Declarations {
    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|item| item.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Returns the kind of work with the given name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        let index = self.kinds.binary_search_by(|item| item.name.as_str().cmp(name)).ok()?;
        self.kinds.get(index)
    }

    /// Returns the client account that owns the API key `key`.
    pub fn account_of_key(&self, key: &str) -> Option<&ClientAccount> {
        let hash = KeyHash::of(key);
        let index = self.owners.binary_search_by(|owner| owner.hash.cmp(&hash)).ok()?;
        self.client_accounts.get(self.owners[index].account)
    }

    /// Whether a drain matches an upstream with the given labels.
    pub fn is_drained(&self, labels: &Labels) -> bool {
        self.drains.iter().any(|selector| selector.matches(labels))
    }

    /// Sorts each list and validates the declarations.
    ///
    /// # Errors
    ///
    /// The first error: a name is declared twice, a referenced item is not declared or a value is out
    /// of range.
    pub fn checked(self) -> Result<Self, Error> {
        self.validated().map_err(|errors| errors.first)
    }

    /// Sorts each list and validates the declarations.
    ///
    /// # Errors
    ///
    /// All errors of the kinds that [`Declarations::checked`] names.
    pub fn validated(mut self) -> Result<Self, Errors> {
        self.sort();
        let mut errors = self.errors().into_iter();
        match errors.next() {
            Some(first) => Err(Errors { first, others: errors.collect() }),
            None => Ok(self),
        }
    }

    /// Parses one of the files that the declarations consist of, without validation.
    ///
    /// # Errors
    ///
    /// [`Error::TooDeep`] if too many brackets are open at a time, [`Error::InvalidYaml`] if the
    /// text is not YAML or does not match the schema.
    pub fn parse(text: &str) -> Result<Self, Error> {
        check_depth(text)?;
        Ok(serde_norway::from_str(text)?)
    }

    /// Appends all items of `other`. The result is neither sorted nor validated.
    pub fn append(&mut self, other: Self) {
        self.services.extend(other.services);
        self.client_accounts.extend(other.client_accounts);
        self.kinds.extend(other.kinds);
        self.drains.extend(other.drains);
        self.rollouts.extend(other.rollouts);
        self.role_changes.extend(other.role_changes);
    }

    /// Serializes the declarations as YAML.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidYaml`] if the serialization fails.
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
            .flat_map(|(index, account)| {
                account.keys.iter().map(move |hash| KeyOwner { hash: hash.clone(), account: index })
            })
            .collect();
        owners.sort();
        owners
    }

    /// Returns all errors in the declarations, which must be sorted.
    fn errors(&self) -> Vec<Error> {
        let kinds = self.kinds.iter().map(|item| item.name.as_str());
        let services = self.services.iter().map(|item| item.name.as_str());
        let accounts = self.client_accounts.iter().map(|item| item.name.as_str());
        let rollouts = self.rollouts.iter().map(|item| item.model.as_str());
        let roles = self.role_changes.iter().map(|item| item.role.as_str());
        let mut errors = duplicates("service", services);
        errors.extend(duplicates("client account", accounts));
        errors.extend(duplicates("kind of work", kinds));
        errors.extend(self.shared_keys());
        errors.extend(self.undeclared_kinds());
        errors.extend(duplicates("rollout", rollouts));
        errors.extend(self.check_drains().err());
        errors.extend(self.rollouts.iter().filter_map(|item| item.check().err()));
        errors.extend(duplicates("role change", roles));
        errors.extend(self.role_changes.iter().filter_map(|item| item.check().err()));
        errors.extend(self.check_min_shares().err());
        errors
    }

    fn shared_keys(&self) -> impl Iterator<Item = Error> {
        let pairs = self.owners.windows(2).filter(|pair| pair[0].hash == pair[1].hash);
        pairs.map(|pair| Error::SharedKey {
            first: self.client_accounts[pair[0].account].name.to_string(),
            second: self.client_accounts[pair[1].account].name.to_string(),
        })
    }

    fn undeclared_kinds(&self) -> impl Iterator<Item = Error> {
        let services = self.services.iter();
        let undeclared = services.filter(|item| self.kind(item.kind.as_str()).is_none());
        undeclared.map(|service| Error::Undeclared {
            place: format!("service \"{}\"", service.name),
            what: "kind of work",
            name: service.kind.to_string(),
        })
    }

    fn check_drains(&self) -> Result<(), Error> {
        if self.drains.iter().all(|selector| !selector.is_empty()) {
            return Ok(());
        }
        Err(Error::InvalidValue {
            place: "drains".to_string(),
            problem: "an empty selector matches every upstream".to_string(),
            help: "name at least one label",
        })
    }

    fn check_min_shares(&self) -> Result<(), Error> {
        let total: u64 = self.kinds.iter().map(|kind| u64::from(kind.least_share_percent)).sum();
        if total <= MAX_TOTAL_MIN_SHARE_PERCENT {
            return Ok(());
        }
        Err(Error::InvalidValue {
            place: "kinds".to_string(),
            problem: format!("the least shares add up to {total} percent"),
            help: "keep their sum at 90 percent or less",
        })
    }
}

/// Fails if too many brackets of `text` are open at a time. The YAML parser takes a time that grows
/// with the depth for each token, and refuses the text only at the end.
fn check_depth(text: &str) -> Result<(), Error> {
    let mut open: usize = 0;
    for byte in text.bytes() {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            _ => {}
        }
        if open > MAX_OPEN_BRACKETS {
            return Err(Error::TooDeep { limit: MAX_OPEN_BRACKETS });
        }
    }
    Ok(())
}

/// Returns an error for each name that occurs more than once in `sorted`.
fn duplicates<'a, I>(what: &'static str, sorted: I) -> Vec<Error>
where
    I: Iterator<Item = &'a str>,
{
    let mut errors = Vec::new();
    let mut previous = None;
    let mut reported = None;
    for name in sorted {
        if previous == Some(name) && reported != Some(name) {
            errors.push(Error::Duplicate { what, name: name.to_string() });
            reported = Some(name);
        }
        previous = Some(name);
    }
    errors
}

impl TryFrom<String> for Declarations {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::parse(&text)?.checked()
    }
}
