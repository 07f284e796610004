//! What load is offered, read from YAML and checked.

use declare::Rank;
use names::{ClientAccount, Kind, Service};
use serde::{Deserialize, Serialize};
use units::{Rate, Span};

use crate::Error;

/// A kind of work in the load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Its declared kind.
    pub kind: Kind,
    /// The service, by which callers name the model.
    pub service: Service,
    /// Its declared rank.
    pub rank: Rank,
    /// How long after its arrival an answer counts as in time.
    pub deadline: Span,
    /// What an answer in time is worth.
    pub worth: u32,
    /// Its part of the base load, relative to other kinds.
    pub part: u32,
    /// Words of an answer.
    pub words: u32,
}

/// A client account in the load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: ClientAccount,
    /// Its API key.
    pub key: String,
    /// Its part of the base load, relative to other accounts.
    pub part: u32,
    /// Whether it counts among the large ones.
    #[serde(default)]
    pub is_large: bool,
}

/// What is offered beyond the base load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Extra {
    /// One kind of work floods in, in percent of the capacity.
    Flood {
        /// The kind.
        kind: Kind,
        /// Its rate.
        percent: u32,
    },
    /// One account asks many times its part.
    Surge {
        /// The account.
        account: ClientAccount,
        /// How many times.
        factor: u32,
    },
}

/// A load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in tables.
    pub name: String,
    /// Time at the start that is not measured.
    pub warm_up: Span,
    /// Time that is measured.
    pub duration: Span,
    /// Requests that the fleet takes.
    pub capacity: Rate,
    /// The base load in percent of the capacity.
    pub load_percent: u32,
    /// Conversations that return.
    pub conversations: u32,
    /// Requests of one conversation; a new one takes its place afterwards.
    pub turns: u32,
    /// Bytes that each turn adds to the context.
    pub turn_bytes: u32,
    /// Kinds of work.
    pub work: Vec<Work>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// What is offered beyond the base load, in the middle third of the measured time.
    #[serde(default)]
    pub extra: Option<Extra>,
}

impl Scenario {
    fn check(&self) -> Result<(), Error> {
        let value = |field, problem: String, help| Error::Value { field, problem, help };
        if self.duration.as_millis() < 1000 {
            let problem = format!("{} is too short", self.duration);
            return Err(value("duration", problem, "give at least 1s"));
        }
        if self.conversations == 0 || self.turns == 0 {
            let problem = "there are no conversations".to_string();
            return Err(value(
                "conversations",
                problem,
                "give conversations and turns of 1 or more",
            ));
        }
        if self.work.iter().all(|work| work.part == 0) {
            return Err(value("work", "no kind has a part".to_string(), "give a part above 0"));
        }
        if self.accounts.iter().all(|account| account.part == 0) {
            let problem = "no account has a part".to_string();
            return Err(value("accounts", problem, "give a part above 0"));
        }
        self.check_extra()
    }

    fn check_extra(&self) -> Result<(), Error> {
        let unknown = |what: &str, name: String| Error::Value {
            field: "extra",
            problem: format!("{what} \"{name}\" is not in the scenario"),
            help: "name one of the scenario",
        };
        match &self.extra {
            Some(Extra::Flood { kind, .. }) if self.work.iter().all(|work| work.kind != *kind) => {
                Err(unknown("kind of work", kind.to_string()))
            }
            Some(Extra::Surge { account, .. })
                if self.accounts.iter().all(|other| other.name != *account) =>
            {
                Err(unknown("client account", account.to_string()))
            }
            _ => Ok(()),
        }
    }

    /// Requests a second of the base load.
    pub fn base_rate(&self) -> f64 {
        self.capacity.as_per_second() * f64::from(self.load_percent) / 100.0
    }
}

impl TryFrom<String> for Scenario {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let scenario: Self = serde_norway::from_str(&text)?;
        scenario.check()?;
        Ok(scenario)
    }
}
