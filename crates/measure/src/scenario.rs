//! Scenario of a load, parsed from YAML and validated.

use declare::Rank;
use names::{ClientAccount, Kind, Service};
use serde::{Deserialize, Serialize};
use units::{Rate, Span};

use crate::Error;

/// Kind of work in the load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Name of the declared kind.
    pub kind: Kind,
    /// Service that callers name as the model.
    pub service: Service,
    /// Declared rank of the kind.
    pub rank: Rank,
    /// Time after the arrival within which the complete response must arrive to count as in time.
    pub deadline: Span,
    /// Worth of a response in time, relative to other kinds.
    pub worth: u32,
    /// Weight of the kind in the base load, relative to other kinds.
    pub part: u32,
    /// Number of words in a response.
    pub words: u32,
}

/// Client account in the load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub name: ClientAccount,
    /// API key of the account.
    pub key: String,
    /// Weight of the account in the base load, relative to other accounts.
    pub part: u32,
    /// Whether the account is reported among the large ones.
    #[serde(default)]
    pub is_large: bool,
}

/// Extra load on top of the base load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Extra {
    /// A flood of requests of one kind of work.
    Flood {
        /// Kind of work.
        kind: Kind,
        /// Rate of the flood, in percent of the capacity.
        percent: u32,
    },
    /// A surge of one client account to a multiple of its share of the base load.
    Surge {
        /// Client account.
        account: ClientAccount,
        /// Ratio of the account's total rate to its base load; values below 2 count as 2.
        factor: u32,
    },
}

/// Load to offer to a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Duration of the warm-up at the start, which is not measured.
    pub warm_up: Span,
    /// Duration of the measurement after the warm-up, at least 1 s.
    pub duration: Span,
    /// Rate of requests that the fleet can serve.
    pub capacity: Rate,
    /// Base load, in percent of the capacity.
    pub load_percent: u32,
    /// Number of conversations that are active at once.
    pub conversations: u32,
    /// Number of requests in a conversation, after which a new conversation replaces it.
    pub turns: u32,
    /// Bytes of the user message that each turn adds to the context.
    pub turn_bytes: u32,
    /// Kinds of work.
    pub work: Vec<Work>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Extra load in the middle third of the measured time.
    #[serde(default)]
    pub extra: Option<Extra>,
}

impl Scenario {
    fn validate(&self) -> Result<(), Error> {
        let value_error =
            |field, problem: String, help| Error::InvalidValue { field, problem, help };
        if self.duration.as_millis() < 1000 {
            let problem = format!("{} is too short", self.duration);
            return Err(value_error("duration", problem, "give at least 1s"));
        }
        if self.conversations == 0 || self.turns == 0 {
            let problem = "the scenario has no requests".to_string();
            return Err(value_error(
                "conversations",
                problem,
                "give conversations and turns of 1 or more",
            ));
        }
        if self.work.iter().all(|work| work.part == 0) {
            return Err(value_error(
                "work",
                "no kind of work has a part above 0".to_string(),
                "give at least one kind of work a part above 0",
            ));
        }
        if self.accounts.iter().all(|account| account.part == 0) {
            let problem = "no client account has a part above 0".to_string();
            return Err(value_error(
                "accounts",
                problem,
                "give at least one client account a part above 0",
            ));
        }
        self.validate_extra()
    }

    fn validate_extra(&self) -> Result<(), Error> {
        let unknown_name = |item: &str, name: String| Error::InvalidValue {
            field: "extra",
            problem: format!("{item} \"{name}\" is not in the scenario"),
            help: "use a name that the scenario defines",
        };
        match &self.extra {
            Some(Extra::Flood { kind, .. }) if self.work.iter().all(|work| work.kind != *kind) => {
                Err(unknown_name("kind of work", kind.to_string()))
            }
            Some(Extra::Surge { account, .. })
                if self.accounts.iter().all(|other| other.name != *account) =>
            {
                Err(unknown_name("client account", account.to_string()))
            }
            _ => Ok(()),
        }
    }

    /// Returns the rate of the base load, in requests per second.
    pub fn base_rate(&self) -> f64 {
        self.capacity.as_per_second() * f64::from(self.load_percent) / 100.0
    }
}

impl TryFrom<String> for Scenario {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let scenario: Self = serde_norway::from_str(&text)?;
        scenario.validate()?;
        Ok(scenario)
    }
}
