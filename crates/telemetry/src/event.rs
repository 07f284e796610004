//! What an instance logs: one type for each decision, written in one place.

use log::Level;
use serde::Serialize;

/// The module under which events are logged, by which the trail knows them.
pub(crate) const EVENT_MODULE: &str = module_path!();

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// It is the first one.
    First,
    /// The one before did not run, or may be repeated.
    Again,
    /// The stream of the one before broke off.
    Resumed,
}

/// What an instance decided or learnt.
///
/// Times are milliseconds. `request` is the caller's id of one try of a request.
#[derive(Debug, Clone, PartialEq, Serialize, strum::IntoStaticStr)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    /// The instance runs.
    Started {
        /// Its data centre.
        data_centre: String,
        /// Its roles.
        roles: String,
        /// Its run.
        run: String,
    },
    /// A planned stop begins.
    Stopping {
        /// Whether callers have to be moved elsewhere first.
        is_entry: bool,
    },
    /// A planned stop has ended.
    Stopped,
    /// Changed settings are used.
    Reloaded {
        /// The seeds named now.
        seeds: String,
    },
    /// Balancers are told something else than before.
    Ready {
        /// Whether the instance is ready.
        is_ready: bool,
        /// Upstreams that may get work.
        upstreams: usize,
        /// The catalogue in force, 0 for none.
        catalogue: u64,
    },
    /// Something that the instance needs is out of reach.
    Lost {
        /// What: `quorum`, `control`, `disk`.
        dependency: &'static str,
        /// Why.
        reason: String,
    },
    /// Something that the instance needs is back.
    Regained {
        /// What.
        dependency: &'static str,
        /// For how long it was out of reach.
        after_ms: u64,
    },
    /// Another catalogue is in force.
    Catalogue {
        /// Its number.
        number: u64,
        /// The number before.
        before: u64,
        /// Where it came from: `log`, `disk` or an instance.
        source: String,
    },
    /// An operator's document was judged.
    Offered {
        /// Its number, 0 if it has none.
        number: u64,
        /// The number that is committed.
        committed: u64,
        /// `acknowledged`, `outdated`, `invalid` or `no-quorum`.
        outcome: &'static str,
        /// Why it is invalid.
        reason: String,
    },
    /// An operator's question for the newest document was answered.
    Read {
        /// The number that the log holds; 0 if the log did not answer.
        committed: u64,
        /// The number that this instance has.
        here: u64,
        /// `given`, `left` by whoever asked, `elsewhere`, `later`, `none`, `not-current` or
        /// `no-quorum`.
        outcome: &'static str,
        /// Bytes of the document that were handed to the connection.
        bytes: usize,
        /// How long it took until the last byte was handed to the connection.
        after_ms: u64,
    },
    /// An upstream said something new of itself.
    Upstream {
        /// The upstream.
        upstream: String,
        /// Its service.
        service: String,
        /// Where it is called.
        address: String,
        /// `ready`, `draining` or `gone`.
        standing: String,
        /// Its run.
        born: u64,
        /// Number of the announcement.
        sequence: u64,
        /// From whom this instance knows: itself or another instance.
        source: String,
    },
    /// Requests go to other upstreams if they can.
    Avoided {
        /// The upstream.
        upstream: String,
        /// Its service.
        service: String,
        /// `failures`, `unreachable`, `slow` or `replaced`.
        reason: &'static str,
        /// Requests of this instance that it has.
        own: u32,
    },
    /// A request was refused, or failed, by this instance.
    Refused {
        /// The request.
        request: String,
        /// Its service, if its route is known.
        service: String,
        /// HTTP status.
        status: u16,
        /// Why, as a short name.
        reason: String,
        /// Whether it may have run.
        verdict: String,
        /// When the caller shall come back.
        retry_after_ms: Option<u64>,
        /// Since it arrived.
        after_ms: u64,
        /// Time that was left for it.
        left_ms: u64,
        /// Attempts that may have run.
        runs: usize,
        /// Attempts that did not run.
        refusals: usize,
        /// Upstreams that could be chosen, and how many of them were avoided or full.
        candidates: usize,
        /// See `candidates`.
        unusable: usize,
        /// The catalogue in force, 0 for none.
        catalogue: u64,
    },
    /// A request waits for an upstream with room.
    Queued {
        /// The request.
        request: String,
        /// Its service.
        service: String,
        /// Its rank.
        rank: u8,
        /// Upstreams that could be chosen.
        candidates: usize,
        /// Requests that wait before and behind it.
        waiting: usize,
        /// How long it may wait.
        patience_ms: u64,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The request.
        request: String,
        /// Its service.
        service: String,
        /// The attempt.
        attempt: String,
        /// Why the attempt is made.
        cause: Cause,
        /// The upstream.
        upstream: String,
        /// Its load as estimated.
        load: f64,
        /// How old the last word of it is.
        heard_ms: u64,
        /// Upstreams that could be chosen.
        candidates: usize,
        /// Time that is left.
        left_ms: u64,
        /// The catalogue in force.
        catalogue: u64,
    },
    /// An attempt failed.
    Failed {
        /// The request.
        request: String,
        /// The attempt.
        attempt: String,
        /// The upstream.
        upstream: String,
        /// Whether it may have run.
        verdict: String,
        /// What went wrong.
        reason: String,
        /// Since the attempt was made.
        after_ms: u64,
        /// What follows.
        next: String,
    },
    /// An answer was cut so that the caller can tell that it is not whole.
    Cut {
        /// The request.
        request: String,
        /// Why.
        reason: String,
        /// Since it arrived.
        after_ms: u64,
    },
    /// The caller went away.
    Left {
        /// The request.
        request: String,
        /// Since it arrived.
        after_ms: u64,
        /// Whether an upstream had it.
        was_sent: bool,
    },
    /// A request has its answer.
    Answered {
        /// The request.
        request: String,
        /// The upstream.
        upstream: String,
        /// HTTP status.
        status: u16,
        /// Until the first byte came.
        first_ms: u64,
        /// Until the last byte came.
        total_ms: u64,
        /// Attempts made.
        attempts: usize,
    },
}

impl Event {
    /// Failures go before changes of what is believed, and these before successes.
    fn level(&self) -> Level {
        match self {
            Self::Lost { .. }
            | Self::Avoided { .. }
            | Self::Refused { .. }
            | Self::Failed { .. }
            | Self::Cut { .. } => Level::Warn,
            Self::Queued { .. } | Self::Sent { .. } | Self::Left { .. } | Self::Answered { .. } => {
                Level::Debug
            }
            _ => Level::Info,
        }
    }

    /// Logs the event.
    pub fn tell(&self) {
        let level = self.level();
        if !log::log_enabled!(level) {
            return;
        }
        let kind: &'static str = self.into();
        match serde_json::to_string(self) {
            Ok(line) => log::log!(target: kind, level, "{line}"),
            Err(error) => log::error!("event {kind} cannot be written: {error}"),
        }
    }
}
