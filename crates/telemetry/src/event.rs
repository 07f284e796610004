//! Structured log events of the decisions and state changes of an instance.

use serde::Serialize;

/// Module path of log records that contain an event. The logger on standard output writes the
/// content of such records as JSON fields instead of plain text.
pub(crate) const EVENT_MODULE: &str = module_path!();

/// Cause of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The attempt is the first one of the request.
    First,
    /// The attempt is a retry: the previous attempt did not run, or the request may run again.
    Again,
    /// The attempt resumes the stream of the previous attempt, which ended early.
    Resumed,
}

/// Decision or state change of an instance, which is written to the log.
///
/// Times are in milliseconds. `request` is the identifier that the caller gave to one try of a
/// request.
#[derive(Debug, Clone, PartialEq, Serialize, strum::IntoStaticStr)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    /// The instance has started.
    Started {
        /// Data centre of the instance.
        data_centre: String,
        /// Roles of the instance.
        roles: String,
        /// Incarnation of the instance.
        run: String,
    },
    /// A leave of an upstream is durable and acknowledged.
    LeaveDurable {
        /// Name of the upstream.
        upstream: String,
        /// Time since the leave arrived.
        after_ms: u64,
        /// Number of writes of leaves since the start of the instance.
        writes: u64,
    },
    /// Enough control instances have a committed document on disk, so that it is acknowledged.
    DocumentStored {
        /// Number of the document.
        number: u64,
        /// Time since the log committed the document.
        after_ms: u64,
    },
    /// A graceful shutdown has started.
    Stopping {
        /// Whether the instance has the entry role, so that callers have to move to other instances
        /// first.
        is_entry: bool,
    },
    /// The graceful shutdown is complete.
    Stopped,
    /// Changed settings were applied.
    Reloaded {
        /// Seeds in the changed settings.
        seeds: String,
    },
    /// The readiness that the instance reports to load balancers has changed.
    Ready {
        /// Whether the instance is ready.
        is_ready: bool,
        /// Number of upstreams that may receive requests.
        upstreams: usize,
        /// Number of the active catalogue, or 0 if there is none.
        catalogue: u64,
    },
    /// A dependency of the instance has become unavailable.
    Lost {
        /// Name of the dependency: `quorum`, `control` or `disk`.
        dependency: &'static str,
        /// Reason for the failure.
        reason: String,
    },
    /// A dependency of the instance is available again.
    Regained {
        /// Name of the dependency.
        dependency: &'static str,
        /// Time for which the dependency was unavailable.
        after_ms: u64,
    },
    /// Another catalogue has become active.
    Catalogue {
        /// Number of the catalogue.
        number: u64,
        /// Number of the previous catalogue.
        before: u64,
        /// Source of the catalogue: `log`, `disk` or the name of an instance.
        source: String,
    },
    /// A document that an operator submitted was accepted or rejected.
    Offered {
        /// Number of the document, or 0 if it has none.
        number: u64,
        /// Number of the committed document.
        committed: u64,
        /// Outcome: `acknowledged`, `outdated`, `invalid`, `not-stored` or
        /// `no-quorum`.
        outcome: &'static str,
        /// Reason why the document is invalid, or empty.
        reason: String,
    },
    /// An operator ordered the evacuation of a data centre, or its withdrawal.
    EvacuationOrder {
        /// Name of the data centre.
        data_centre: String,
        /// Whether the data centre is to be evacuated.
        is_evacuated: bool,
        /// Number of the order, or 0 if there is none.
        number: u64,
        /// Outcome: `accepted` (committed), `acknowledged`, `left` (the operator left before the order
        /// was proposed), `outdated` (the opposite was committed since the order was read),
        /// `not-stored`, `superseded`, `too-many` or `no-quorum`.
        outcome: &'static str,
        /// Time since the order arrived.
        after_ms: u64,
    },
    /// A new order about a data centre is in force at this instance.
    Evacuation {
        /// Name of the data centre.
        data_centre: String,
        /// Whether the data centre is evacuated, or its evacuation withdrawn.
        is_evacuated: bool,
        /// Number of the order.
        number: u64,
        /// Source of the order: `log`, `disk`, `order` or the name of an instance.
        source: String,
    },
    /// Enough control instances have an evacuation order on disk, so that it is acknowledged.
    EvacuationStored {
        /// Name of the data centre.
        data_centre: String,
        /// Number of the order.
        number: u64,
        /// Time since the log committed the order.
        after_ms: u64,
    },
    /// An operator's read of the newest document has ended.
    Read {
        /// Number of the document in the log, or 0 if the log did not answer.
        committed: u64,
        /// Number of the document at this instance.
        here: u64,
        /// Outcome: `given`, `left` (the operator disconnected), `elsewhere` (redirected to another
        /// instance), `later` (refused because the link is busy), `none` (no document is
        /// committed), `not-current` or `no-quorum`.
        outcome: &'static str,
        /// Number of bytes of the document that were passed to the connection.
        bytes: usize,
        /// Time until the last byte was passed to the connection.
        after_ms: u64,
    },
    /// An upstream announced a change of itself.
    Upstream {
        /// Name of the upstream.
        upstream: String,
        /// Service that the upstream provides.
        service: String,
        /// Address of the upstream.
        address: String,
        /// Status: `ready`, `draining` or `gone`.
        standing: String,
        /// Incarnation of the upstream.
        born: u64,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Source of the announcement: `itself` (the upstream) or the name of another instance.
        source: String,
    },
    /// A leave that does not tell which announced run ends. Announcements of runs that it ends are
    /// ignored.
    Departure {
        /// Name of the upstream.
        upstream: String,
        /// Start of the last run that is known to end, in milliseconds of Unix time.
        through: Option<u64>,
        /// Time of a leave that names no run, in milliseconds of Unix time.
        before: Option<u64>,
        /// Source of the leave: `itself` (the upstream) or the name of another instance.
        source: String,
    },
    /// An upstream is avoided: requests go to other upstreams if possible.
    Avoided {
        /// Name of the upstream.
        upstream: String,
        /// Service that the upstream provides.
        service: String,
        /// Reason: `failures`, `unreachable`, `slow`, `replaced`, `leaving` or `asked-to-wait`.
        reason: &'static str,
        /// Number of requests of this instance in flight at the upstream.
        own: u32,
    },
    /// An upstream has too many bytes of requests of this instance in flight for another request.
    /// Written once until the upstream has none.
    BytesLimited {
        /// Name of the upstream.
        upstream: String,
        /// Number of bytes in flight at the upstream.
        bytes: u64,
        /// Limit of this number.
        limit: u64,
        /// Size of the request in bytes.
        size: u64,
    },
    /// An upstream named a rate limit in a response, changed it, or names none any more.
    RateLimit {
        /// Name of the upstream.
        upstream: String,
        /// Change: `begun`, `changed` or `ended`.
        change: String,
        /// Number of requests per second that the upstream takes from all instances together.
        per_second: Option<f64>,
        /// Source: `itself` (a response to this instance) or the name of another instance.
        source: String,
    },
    /// An upstream became cold, or warm again, as far as this instance knows.
    Cold {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream is cold.
        is_cold: bool,
        /// Time for which the upstream stays cold, or 0.
        remaining_ms: u64,
        /// Number of requests per second that all instances together send to the upstream while it
        /// is cold.
        per_second: Option<f64>,
    },
    /// This instance answered a request with an error.
    Refused {
        /// Identifier of the request.
        request: String,
        /// Service of the request, or empty if the route is unknown.
        service: String,
        /// HTTP status of the response.
        status: u16,
        /// Error code.
        reason: String,
        /// Verdict: whether the request may have run.
        verdict: String,
        /// Time after which the caller should retry, if any.
        retry_after_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
        /// Time left until the deadline of the request.
        left_ms: u64,
        /// Number of attempts that may have run.
        runs: usize,
        /// Number of attempts that did not run.
        refusals: usize,
        /// Number of candidate upstreams at the last placement.
        candidates: usize,
        /// Number of these candidates that were avoided or unavailable.
        unusable: usize,
        /// Number of the active catalogue, or 0 if there is none.
        catalogue: u64,
    },
    /// A request waits for an upstream with free capacity.
    Queued {
        /// Identifier of the request.
        request: String,
        /// Service of the request.
        service: String,
        /// Rank of the request.
        rank: u8,
        /// Number of candidate upstreams.
        candidates: usize,
        /// Number of other requests in the wait queue.
        waiting: usize,
        /// Maximum time that the request may wait.
        patience_ms: u64,
    },
    /// A request found no upstream, and is over the share of its client account at one.
    OverShare {
        /// Identifier of the request.
        request: String,
        /// Name of the account, or empty for requests without an account.
        account: String,
        /// Service of the request.
        service: String,
        /// Name of the upstream.
        upstream: String,
        /// Number of requests there.
        requests: u32,
        /// Number of these requests that belong to the account.
        of_account: u32,
        /// Number of accounts that share the upstream.
        accounts: u32,
    },
    /// A request was sent to an upstream.
    Sent {
        /// Identifier of the request.
        request: String,
        /// Service of the request.
        service: String,
        /// Identifier of the attempt.
        attempt: String,
        /// Cause of the attempt.
        cause: Cause,
        /// Name of the upstream.
        upstream: String,
        /// Load estimate of the upstream.
        load: f64,
        /// Pace of the upstream in percent, or none if the upstreams of the service name no pace.
        #[serde(skip_serializing_if = "Option::is_none")]
        pace: Option<u64>,
        /// Prompt tokens of other requests that the upstream has not read, or none as for the pace.
        #[serde(skip_serializing_if = "Option::is_none")]
        unread: Option<u64>,
        /// Whether the upstream was chosen for its cost, or none as for the pace.
        #[serde(skip_serializing_if = "Option::is_none")]
        is_moved: Option<bool>,
        /// Time since the last announcement of the upstream.
        heard_ms: u64,
        /// Number of candidate upstreams.
        candidates: usize,
        /// Time left until the deadline of the request.
        left_ms: u64,
        /// Number of the active catalogue.
        catalogue: u64,
    },
    /// An attempt failed.
    Failed {
        /// Identifier of the request.
        request: String,
        /// Identifier of the attempt.
        attempt: String,
        /// Name of the upstream.
        upstream: String,
        /// Verdict: whether the attempt may have run.
        verdict: String,
        /// Description of the failure.
        reason: String,
        /// Time since the attempt started.
        after_ms: u64,
        /// Time since the first byte of the answer arrived, or none if none did.
        begun_ms: Option<u64>,
        /// Key of the request, the same whenever the request is sent again: its last part, or a hash
        /// of method, host, path, caller and body if it has no prompt.
        key: String,
        /// Parts of the prompt, the last of which is specific to the request or its session.
        prompt: String,
        /// Action that follows the failure, such as a retry.
        next: String,
    },
    /// An upstream sent an answer that breaks a rule of HTTP/1.1. A line `failed` follows.
    Malformed {
        /// Identifier of the request.
        request: String,
        /// Identifier of the attempt.
        attempt: String,
        /// Name of the upstream.
        upstream: String,
        /// Name of the rule.
        rule: String,
        /// Description of what is wrong with the answer.
        reason: String,
    },
    /// Answers of an upstream broke off at their beginning, and it was checked whether the upstream
    /// has ended.
    BrokenOff {
        /// Name of the upstream.
        upstream: String,
        /// Incarnation of the upstream.
        born: u64,
        /// Whether a process listens at its address: `accepts`, `refuses` or `unknown`. The
        /// upstream has ended if its address refuses connections.
        listening: String,
        /// Keys of the requests.
        parts: String,
    },
    /// A key of requests is quarantined, or is not any more.
    Quarantined {
        /// The key.
        part: String,
        /// Whether the quarantine begins.
        is_begun: bool,
        /// Source of the last evidence: `itself` or the name of another instance.
        source: String,
    },
    /// An upstream has been silent for a while during an attempt. The attempt goes on unless a line
    /// `failed` follows.
    Stalled {
        /// Identifier of the request.
        request: String,
        /// Identifier of the attempt.
        attempt: String,
        /// Name of the upstream.
        upstream: String,
        /// Description of what the upstream has not sent.
        reason: String,
        /// Time since the attempt started.
        after_ms: u64,
        /// Number of the active catalogue.
        catalogue: u64,
    },
    /// An answer was aborted in such a way that the caller can detect that it is incomplete.
    Cut {
        /// Identifier of the request.
        request: String,
        /// Reason for the abort.
        reason: String,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// The caller disconnected before its request was answered.
    Left {
        /// Identifier of the request.
        request: String,
        /// Time since the request arrived.
        after_ms: u64,
        /// Whether the request was sent to an upstream.
        was_sent: bool,
    },
    /// A request was answered completely.
    Answered {
        /// Identifier of the request.
        request: String,
        /// Name of the upstream.
        upstream: String,
        /// HTTP status of the response.
        status: u16,
        /// Time from the arrival of the request to the first byte of the answer.
        first_ms: u64,
        /// Time from the arrival of the request to the last byte of the answer.
        total_ms: u64,
        /// Number of attempts.
        attempts: usize,
        /// What showed the end of the answer: `proven` by a length or chunks, or only the `closed`
        /// connection of an upstream that sent neither.
        end: String,
    },
}

impl Event {
    /// Writes the event to the log as a JSON object.
    pub fn write(&self) {
        let level = self.level();
        if !log::log_enabled!(level) {
            return;
        }
        let kind: &'static str = self.into();
        match serde_json::to_string(self) {
            Ok(json) => log::log!(target: kind, level, "{json}"),
            Err(error) => log::error!("cannot serialize event {kind}: {error}; event not logged"),
        }
    }
}
