//! The settings of an instance and their validation.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use names::{DataCentre, Instance};
use serde::{Deserialize, Serialize};
use units::{Size, Span};

use crate::{Context, Direct, Error, Policies};

/// Maximum number of voters of the replicated log.
const MAX_VOTERS: usize = 7;

/// Minimum length of a secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Least value of `limits.memory`, with which one request of the largest size has room.
const MIN_MEMORY: Size = Size::from_kibibytes(96 * 1024);

/// Role of an instance.
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
    /// The instance accepts requests from callers and owns upstreams.
    Entry,
    /// The instance votes on the replicated log and stores it on disk.
    Control,
}

/// Addresses that an instance listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// Address for HTTP requests of operators, announcements of upstreams and metrics.
    pub operators: SocketAddr,
    /// Address for frames of other instances, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address at which other instances reach `peers`, if it differs from that address.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Additional address for readiness checks, separate from the port for operators.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Additional address for metrics, separate from the port for operators.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Another instance that is listed in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Instance,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Address on which the instance listens for frames.
    pub address: SocketAddr,
}

/// Limits on requests, connections, calls and the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory of the machine that the process may use. A fixed part of it is the budget for the
    /// bytes that are held for callers, operators and upstreams.
    pub memory: Size,
    /// Maximum size of the request line and the headers together.
    pub head: Size,
    /// Maximum size of a request body.
    pub body: Size,
    /// Maximum size of the incomplete requests of all callers together.
    pub incoming: Size,
    /// Maximum size of the unsent output that is buffered for a caller that reads slowly. Without a
    /// value, only the limits of all callers together apply.
    pub unread: Option<Size>,
    /// Maximum size of the unsent output that is buffered for all callers together.
    pub unread_total: Size,
    /// Maximum size of the responses of upstreams that are collected before they are sent, for all
    /// callers together.
    pub collected: Size,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent calls to upstreams.
    pub calls: usize,
    /// Minimum size at which the replicated log is replaced by a snapshot.
    pub log: Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: Size::from_kibibytes(1024 * 1024),
            head: Size::from_kibibytes(16),
            body: Size::from_kibibytes(4096),
            incoming: Size::from_kibibytes(32 * 1024),
            unread: None,
            unread_total: Size::from_kibibytes(32 * 1024),
            collected: Size::from_kibibytes(64 * 1024),
            connections: 4096,
            calls: 512,
            log: Size::from_kibibytes(1024),
        }
    }
}

/// Timeouts of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Maximum time that a caller may take to send a complete request.
    pub receive: Span,
    /// Maximum time that a connection may be idle between requests.
    pub idle: Span,
    /// Maximum time for which a caller may leave output unread.
    pub unread: Span,
    /// Maximum time that connecting to an upstream may take.
    pub connect: Span,
    /// Maximum time that a graceful shutdown waits for requests in flight.
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

/// Log limit, which applies if logs are written to standard output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// Maximum number of lines per second.
    pub lines: u64,
    /// Maximum number of bytes per second.
    pub bytes: Size,
}

impl Default for Logs {
    fn default() -> Self {
        Self { lines: 400, bytes: Size::from_kibibytes(96) }
    }
}

/// Type of limit on the retries of failed attempts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryLimit {
    /// Retries are not limited: every failed attempt that may be retried is retried.
    Unbounded,
    /// Retries are limited to a percentage of the requests plus a fixed number per second.
    Share,
}

/// Retry budget for failed attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Type of the limit.
    pub limit: RetryLimit,
    /// Maximum number of retries per 100 requests.
    pub percent: u32,
    /// Number of retries per second that are allowed even with little traffic.
    pub per_second: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self { limit: RetryLimit::Share, percent: 20, per_second: 10 }
    }
}

fn default_losses_borne() -> usize {
    1
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: Instance,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Roles of the instance.
    pub roles: Vec<Role>,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Folder for the durable state of the instance; required for the control role.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Shared secrets by which instances authenticate each other. The first one is used for
    /// signing, and all of them are accepted.
    pub fleet_secrets: Vec<String>,
    /// Token that upstreams send with announcements.
    #[serde(default)]
    pub upstream_token: Option<String>,
    /// Tokens of operators, by name.
    #[serde(default)]
    pub operator_tokens: std::collections::BTreeMap<names::Operator, String>,
    /// Whether anyone may change declarations as long as no operator has a token.
    #[serde(default)]
    pub open_operators: bool,
    /// Other instances that are known at the start.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Initial voters of the replicated log.
    #[serde(default)]
    pub voters: Vec<Instance>,
    /// Addresses of control instances by which this instance finds the fleet, instead of `peers`
    /// and `voters`. Each instance then has its IP address as its name, and all instances use the
    /// same ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that the seeds create the replicated
    /// log; used with `seeds`.
    #[serde(default)]
    pub first_start: bool,
    /// Number of disks that may be lost at the same time, which determines the target number of
    /// voters; used with `seeds`.
    #[serde(default = "default_losses_borne")]
    pub losses_borne: usize,
    /// File with the declarations that are used until the fleet has committed a revision.
    #[serde(default)]
    pub bootstrap_declarations: Option<PathBuf>,
    /// Limits on requests, connections, calls and the replicated log.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts of the instance.
    #[serde(default)]
    pub timing: Timing,
    /// Retry budget for failed attempts.
    #[serde(default)]
    pub retries: Retries,
    /// Settings of entry instances that choose upstreams themselves.
    #[serde(default)]
    pub direct: Direct,
    /// Settings for moving cached context between engines.
    #[serde(default)]
    pub context: Context,
    /// Placement and admission policies.
    #[serde(default)]
    pub policies: Policies,
    /// Whether log lines on standard error are written as JSON.
    #[serde(default)]
    pub json_logs: bool,
    /// Log limit.
    #[serde(default)]
    pub logs: Logs,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the file cannot be read, [`Error::InvalidFormat`] if it is not valid YAML
    /// of the documented format, [`Error::InvalidValue`] if a value is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.display().to_string(), source })?;
        Self::try_from(text)
    }

    /// Returns whether the instance has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn validate(&self) -> Result<(), Error> {
        self.validate_roles()?;
        self.validate_voters()?;
        self.validate_link()?;
        self.validate_cold_bounds()?;
        self.validate_memory()?;
        self.validate_secrets()
    }

    fn validate_memory(&self) -> Result<(), Error> {
        let memory = self.limits.memory;
        if memory >= MIN_MEMORY {
            return Ok(());
        }
        Err(Error::InvalidValue {
            field: "limits.memory",
            problem: format!("{memory} is less than {MIN_MEMORY}"),
            help: "give the instance more memory; with less, a single large request has no room",
        })
    }

    fn validate_link(&self) -> Result<(), Error> {
        let megabits = self.direct.link_megabits;
        if megabits.is_finite() && megabits > 0.0 {
            return Ok(());
        }
        Err(Error::InvalidValue {
            field: "direct.link_megabits",
            problem: format!("{megabits} is not a positive number"),
            help: "set it to the bandwidth of the link of this instance in megabits per second",
        })
    }

    fn validate_cold_bounds(&self) -> Result<(), Error> {
        let bounds = [
            ("direct.cold_excess", self.direct.cold_excess),
            ("direct.cold_slack", self.direct.cold_slack),
        ];
        for (field, bound) in bounds {
            if let Some(bound) = bound.filter(|bound| !bound.is_finite() || *bound < 0.0) {
                return Err(Error::InvalidValue {
                    field,
                    problem: format!("{bound} is negative or not a number"),
                    help: "set it to a number from 0, or leave it out",
                });
            }
        }
        Ok(())
    }

    fn validate_roles(&self) -> Result<(), Error> {
        if self.roles.is_empty() {
            return Err(Error::InvalidValue {
                field: "roles",
                problem: "the list is empty".to_string(),
                help: "list entry, control, or both",
            });
        }
        if self.has_role(Role::Control) && self.data_folder.is_none() {
            return Err(Error::InvalidValue {
                field: "data_folder",
                problem: "the control role requires a data folder".to_string(),
                help: "set it to a folder on a disk that survives restarts",
            });
        }
        Ok(())
    }

    /// Returns whether this instance is a voter of the replicated log or can become one.
    pub fn may_vote(&self) -> bool {
        self.has_role(Role::Control) && self.data_folder.is_some() && !self.voters.is_empty()
    }

    /// Returns whether the instance finds the fleet by seeds. Such a fleet replaces lost voters
    /// automatically.
    pub fn is_seeded(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Returns the target number of voters: the smallest number of which a quorum remains after
    /// `losses_borne` losses, but at most `MAX_VOTERS`.
    pub fn target_voter_count(&self) -> usize {
        (2 * self.losses_borne + 1).min(MAX_VOTERS)
    }

    /// Adds the seeds to the peers and to the initial voters.
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

    fn validate_voters(&self) -> Result<(), Error> {
        if self.voters.len() > MAX_VOTERS {
            return Err(Error::InvalidValue {
                field: "voters",
                problem: format!("{} voters exceed the maximum of {MAX_VOTERS}", self.voters.len()),
                help: "list 1, 3, 5 or 7 voters",
            });
        }
        let unknown = self.voters.iter().find(|voter| {
            **voter != self.instance && !self.peers.iter().any(|peer| peer.instance == **voter)
        });
        match unknown {
            Some(voter) => Err(Error::InvalidValue {
                field: "voters",
                problem: format!("voter \"{voter}\" is not listed in peers"),
                help: "add the voter and its address to peers",
            }),
            None => Ok(()),
        }
    }

    fn validate_secrets(&self) -> Result<(), Error> {
        if self.fleet_secrets.is_empty() {
            return Err(Error::InvalidValue {
                field: "fleet_secrets",
                problem: "the list is empty".to_string(),
                help: "list one secret, or two while the secret is being rotated",
            });
        }
        match self.fleet_secrets.iter().position(|secret| secret.len() < MIN_SECRET_BYTES) {
            Some(index) => Err(Error::InvalidValue {
                field: "fleet_secrets",
                problem: format!("secret {} is shorter than {MIN_SECRET_BYTES} bytes", index + 1),
                help: "use 32 random characters",
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
        settings.validate()?;
        Ok(settings)
    }
}
