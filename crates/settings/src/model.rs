//! The settings themselves and the checks on them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use names::{DataCentre, Instance};
use serde::{Deserialize, Serialize};
use units::{Size, Span};

use crate::{Context, Direct, Error, Policies};

/// Most voters that a control group may have.
const MAX_VOTERS: usize = 7;

/// Fewest bytes of text in a secret.
const MIN_SECRET_BYTES: usize = 16;

/// What an instance does.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests and owns upstreams.
    Entry,
    /// Votes on the replicated log and stores it on disk.
    Control,
}

/// Addresses that an instance listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP, announcements of upstreams and metrics.
    pub operators: SocketAddr,
    /// Frames of other instances, over TCP and UDP.
    pub peers: SocketAddr,
    /// Where other instances reach `peers`, if it is not that address itself.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Answers whether the instance is ready, apart from the operators' port.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Metrics, apart from the operators' port.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Another instance, known from the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where it listens for frames.
    pub address: SocketAddr,
}

/// Bounds on what callers may send and hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request line and headers together.
    pub head: Size,
    /// Largest request body.
    pub body: Size,
    /// Most bytes of requests on their way in, over all callers.
    pub incoming: Size,
    /// Most bytes of answer held for a caller that reads slowly.
    pub unread: Size,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most calls to upstreams at once.
    pub calls: usize,
    /// Least size of the replicated log at which a snapshot replaces it.
    pub log: Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: Size::from_kibibytes(16),
            body: Size::from_kibibytes(4096),
            incoming: Size::from_kibibytes(32 * 1024),
            unread: Size::from_kibibytes(256),
            connections: 4096,
            calls: 512,
            log: Size::from_kibibytes(1024),
        }
    }
}

/// Spans of time that an instance works with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long a caller may take to send a whole request.
    pub receive: Span,
    /// How long a connection may stay idle between requests.
    pub idle: Span,
    /// How long a caller may leave an answer unread.
    pub unread: Span,
    /// How long a connection attempt to an upstream may take.
    pub connect: Span,
    /// How long a planned stop waits for requests in flight.
    pub drain: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            receive: Span::from_seconds(10),
            idle: Span::from_seconds(60),
            unread: Span::from_seconds(20),
            connect: Span::from_seconds(1),
            drain: Span::from_seconds(120),
        }
    }
}

/// How much is logged at most, where logs go to standard output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Lines a second.
    pub lines: u64,
    /// Bytes a second.
    pub bytes: Size,
}

impl Default for Logs {
    fn default() -> Self {
        Self { lines: 400, bytes: Size::from_kibibytes(96) }
    }
}

/// What limits the retries of failed attempts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryLimit {
    /// Every failure that may be retried is retried.
    Unbounded,
    /// A share of the requests, and some retries a second in any case.
    Share,
}

/// How retries of failed attempts are limited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// What limits them.
    pub limit: RetryLimit,
    /// Retries for 100 requests.
    pub percent: u32,
    /// Retries a second that quiet traffic may have.
    pub per_second: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self { limit: RetryLimit::Share, percent: 20, per_second: 10 }
    }
}

fn one_loss() -> usize {
    1
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name, unique in the fleet.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// What it does.
    pub roles: Vec<Role>,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Folder of its durable state; required with the control role.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Secrets that peers prove to each other; the first signs, all are accepted.
    pub fleet_secrets: Vec<String>,
    /// Token that upstreams present with announcements.
    #[serde(default)]
    pub upstream_token: Option<String>,
    /// Tokens of operators, by name.
    #[serde(default)]
    pub operator_tokens: std::collections::BTreeMap<names::Operator, String>,
    /// Lets anyone change declarations while no operator has a token.
    #[serde(default)]
    pub open_operators: bool,
    /// Other instances known at start.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Instances that vote on the replicated log.
    #[serde(default)]
    pub voters: Vec<Instance>,
    /// Addresses of control instances from which the fleet is found, in place of `peers` and
    /// `voters`. Each instance is named by its IP number then, and all use the same ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that the seeds found the replicated
    /// log; used with `seeds`.
    #[serde(default)]
    pub first_start: bool,
    /// How many disks may be lost at once, which decides how many voters are wanted; used with
    /// `seeds`.
    #[serde(default = "one_loss")]
    pub losses_borne: usize,
    /// Declarations used until the fleet has a committed revision.
    #[serde(default)]
    pub bootstrap_declarations: Option<PathBuf>,
    /// Bounds on what callers may send and hold.
    #[serde(default)]
    pub limits: Limits,
    /// Spans of time that the instance works with.
    #[serde(default)]
    pub timing: Timing,
    /// How retries of failed attempts are limited.
    #[serde(default)]
    pub retries: Retries,
    /// How entry instances work that choose upstreams by themselves.
    #[serde(default)]
    pub direct: Direct,
    /// When cached context is moved between engines.
    #[serde(default)]
    pub context: Context,
    /// Policies that the instance decides by.
    #[serde(default)]
    pub policies: Policies,
    /// Writes log lines as JSON.
    #[serde(default)]
    pub json_logs: bool,
    /// How much is logged at most.
    #[serde(default)]
    pub logs: Logs,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`Error::File`] when the file cannot be read, else as for `TryFrom<String>`.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.display().to_string(), source })?;
        Self::try_from(text)
    }

    /// Whether the instance has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn check(&self) -> Result<(), Error> {
        self.check_roles()?;
        self.check_voters()?;
        self.check_link()?;
        self.check_secrets()
    }

    fn check_link(&self) -> Result<(), Error> {
        let link = self.direct.link_megabits;
        if link.is_finite() && link > 0.0 {
            return Ok(());
        }
        Err(Error::Value {
            field: "direct.link_megabits",
            problem: format!("{link} is no rate"),
            help: "give the megabits a second that the link of this instance carries",
        })
    }

    fn check_roles(&self) -> Result<(), Error> {
        if self.roles.is_empty() {
            return Err(Error::Value {
                field: "roles",
                problem: "the list is empty".to_string(),
                help: "give entry, control, or both",
            });
        }
        if self.has_role(Role::Control) && self.data_folder.is_none() {
            return Err(Error::Value {
                field: "data_folder",
                problem: "the control role needs a folder".to_string(),
                help: "name a folder on a disk that survives restarts",
            });
        }
        Ok(())
    }

    /// Whether this instance keeps the replicated log, or can be made to.
    pub fn may_vote(&self) -> bool {
        self.has_role(Role::Control) && self.data_folder.is_some() && !self.voters.is_empty()
    }

    /// Whether the fleet is found from seeds alone, and repairs its voters by itself.
    pub fn is_seeded(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// How many voters survive the losses that are to be borne.
    pub fn voters_wanted(&self) -> usize {
        (2 * self.losses_borne + 1).min(MAX_VOTERS)
    }

    /// Names the seeds as peers and as founders of the log.
    fn add_seeds(&mut self) {
        for seed in self.seeds.clone() {
            let Ok(instance) = seed.ip().to_string().parse::<Instance>() else {
                continue;
            };
            if instance != self.instance {
                let address = SocketAddr::new(seed.ip(), self.listen.peers.port());
                let data_centre = self.data_centre.clone();
                self.peers.push(Peer { instance: instance.clone(), data_centre, address });
            }
            if !self.voters.contains(&instance) {
                self.voters.push(instance);
            }
        }
    }

    fn check_voters(&self) -> Result<(), Error> {
        if self.voters.len() > MAX_VOTERS {
            return Err(Error::Value {
                field: "voters",
                problem: format!("{} voters are more than {MAX_VOTERS}", self.voters.len()),
                help: "name 1, 3, 5 or 7 voters",
            });
        }
        let unknown = self.voters.iter().find(|voter| {
            **voter != self.instance && !self.peers.iter().any(|peer| peer.instance == **voter)
        });
        match unknown {
            Some(voter) => Err(Error::Value {
                field: "voters",
                problem: format!("voter \"{voter}\" is not among the peers"),
                help: "add it to peers with its address",
            }),
            None => Ok(()),
        }
    }

    fn check_secrets(&self) -> Result<(), Error> {
        if self.fleet_secrets.is_empty() {
            return Err(Error::Value {
                field: "fleet_secrets",
                problem: "the list is empty".to_string(),
                help: "give one secret, or two while changing it",
            });
        }
        match self.fleet_secrets.iter().position(|secret| secret.len() < MIN_SECRET_BYTES) {
            Some(index) => Err(Error::Value {
                field: "fleet_secrets",
                problem: format!("secret {} is shorter than {MIN_SECRET_BYTES} bytes", index + 1),
                help: "use a random text of 32 characters",
            }),
            None => Ok(()),
        }
    }
}

impl TryFrom<String> for Settings {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let mut settings: Self = serde_norway::from_str(&text)?;
        settings.add_seeds();
        settings.check()?;
        Ok(settings)
    }
}
