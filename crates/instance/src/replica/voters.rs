//! Operator requests that show or change the voters of the log, and automatic replacement of
//! voters.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use names::{Instance, Operator};
use operator::{Request, Response};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;
use settings::Settings;
use stakker::{CX, Ret};
use state::{Index, Input, ProposalOutcome, Voters, VotersCommand, VotersOutcome};

use super::{Part, Replica};
use crate::config::Access;
use crate::operators::PendingRequest;

/// Allowed numbers of voters, of which the log tolerates the loss of a minority.
const ALLOWED_VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];

/// Delay before the end of a change is proposed again.
const FINISH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two replacements of voters, so that the first can take effect.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Operator name of automatic voter replacements in the audit trail.
const REPAIR_OPERATOR_NAME: &str = "repair";

/// Maximum length of an order id, in bytes.
const MAX_ORDER_ID_BYTES: usize = 64;

/// The body of a request to change the voters.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Asked")]
struct VotersChangeRequest {
    /// Current voters as far as the operator knows.
    from: Vec<Instance>,
    /// Requested voters.
    to: Vec<Instance>,
}

impl Replica {
    /// Handles `GET /state/voters` by a read through the log.
    pub(super) fn show_voters(&mut self, cx: CX![], pending: PendingRequest) {
        match Access::new(&self.settings).check_reader(&pending.request) {
            Ok(()) => self.propose_voters(cx, pending, &VotersCommand::Show),
            Err(refusal) => pending.respond(refusal),
        }
    }

    /// Handles `POST /state/voters`.
    pub(super) fn change_voters(&mut self, cx: CX![], pending: PendingRequest) {
        let access = Access::new(&self.settings);
        let command = access
            .check_writer(&pending.request)
            .and_then(|operator| parse_change(&pending.request, operator, &self.settings));
        match command {
            Ok(command) => self.propose_voters(cx, pending, &command),
            Err(refusal) => pending.respond(refusal),
        }
    }

    fn propose_voters(&mut self, cx: CX![], pending: PendingRequest, command: &VotersCommand) {
        let settings = self.settings.clone();
        let proposed = Ret::new(move |proposed: Option<ProposalOutcome>| {
            pending.respond(respond(&settings, proposed));
        });
        let command = postcard::to_allocvec(command).unwrap_or_default();
        self.propose(cx, Part::Voters, command, proposed);
    }

    /// Passes the target voters to the core.
    pub(super) fn apply_target_voters(&mut self, cx: CX![], _: Index) {
        let target = self.voters.borrow().target().to_vec();
        self.step(cx, Instant::now(), Input::Target(target));
        self.schedule_tick(cx);
    }

    /// Proposes the end of the running change once the members match the target voters. Only the
    /// leader does so.
    pub(super) fn finish_change(&mut self, cx: CX![], now: Instant) {
        let running = self.voters.borrow().running().map(|running| running.number);
        let Some(number) = running else {
            return;
        };
        let is_reached = self
            .node
            .as_ref()
            .is_some_and(|node| node.core().is_leading(now) && node.core().has_target_members());
        if is_reached && self.next_finish_at.is_none_or(|retry_at| retry_at <= now) {
            self.next_finish_at = Some(now + FINISH_RETRY_DELAY);
            let command = postcard::to_allocvec(&VotersCommand::Finish { number });
            let proposed = Ret::new(|_: Option<ProposalOutcome>| {});
            self.propose(cx, Part::Voters, command.unwrap_or_default(), proposed);
        }
    }
}

impl Replica {
    /// Proposes to replace a silent voter with a spare instance, at the leader of a seeded fleet.
    pub(super) fn replace_voters(&mut self, cx: CX![], now: Instant) {
        let is_paused = self.next_replacement_at.is_some_and(|retry_at| now < retry_at);
        if !self.settings.is_seeded() || is_paused {
            return;
        }
        let voter_count = self.settings.voters_wanted();
        let core = self.node.as_ref().map(|node| node.core());
        let Some(to) = core.and_then(|core| core.replacement_voters(now, voter_count)) else {
            return;
        };
        let Ok(operator) = Operator::try_from(REPAIR_OPERATOR_NAME.to_string()) else {
            return;
        };
        log::info!("replacing a silent voter; the new voters are {}", quoted_names(&to));
        self.next_replacement_at = Some(now + REPLACEMENT_INTERVAL);
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let command = postcard::to_allocvec(&VotersCommand::Repair { operator, at, to });
        let proposed = Ret::new(|_: Option<ProposalOutcome>| {});
        self.propose(cx, Part::Voters, command.unwrap_or_default(), proposed);
    }
}

fn invalid(message: String) -> Response {
    Response::error(400, "invalid_voters", message)
}

fn parse_change(
    request: &Request,
    operator: Operator,
    settings: &Settings,
) -> Result<VotersCommand, Response> {
    let change: VotersChangeRequest = serde_json::from_slice(&request.body)
        .map_err(|error| invalid(format!("the body does not name voters: {error}")))?;
    let (from, to) = (sorted(change.from), sorted(change.to));
    if !ALLOWED_VOTER_COUNTS.contains(&to.len()) {
        let count = to.len();
        return Err(invalid(format!("{count} voters are asked for; help: name 1, 3, 5 or 7")));
    }
    let is_known = |voter: &Instance| {
        *voter == settings.instance || settings.peers.iter().any(|peer| peer.instance == *voter)
    };
    if let Some(voter) = to.iter().find(|voter| !is_known(voter)) {
        let message = format!("instance \"{voter}\" does not exist; help: add it to the peers");
        return Err(invalid(message));
    }
    let order = match request.parameter("order") {
        Some(order) if order.len() > MAX_ORDER_ID_BYTES => {
            return Err(invalid(format!(
                "the order has more than {MAX_ORDER_ID_BYTES} characters"
            )));
        }
        Some(order) => order.to_string(),
        None => format!("{:016x}", rand::rng().random::<u64>()),
    };
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    Ok(VotersCommand::RequestChange { order, operator, at, from, to })
}

fn sorted(mut voters: Vec<Instance>) -> Vec<Instance> {
    voters.sort();
    voters.dedup();
    voters
}

fn respond(settings: &Settings, proposed: Option<ProposalOutcome>) -> Response {
    let outcome = match proposed {
        Some(ProposalOutcome::Applied { outcome, .. }) => postcard::from_bytes(&outcome).ok(),
        Some(ProposalOutcome::NotRun) => {
            let message = "no leader of the replicated log is within reach; nothing was changed";
            return Response::error(503, "not_run", message);
        }
        Some(ProposalOutcome::Unknown) | None => {
            let message = "the leader did not answer; send the order again under its id";
            return Response::error(504, "may_have_run", message);
        }
    };
    match outcome {
        Some(VotersOutcome::Known(voters)) => Response::json(200, &voters_json(settings, &voters)),
        Some(VotersOutcome::Accepted(change)) => Response::json(200, &change),
        Some(VotersOutcome::Busy(change)) => {
            let message = format!(
                "change {} of the voters by operator \"{}\" has not ended; ask again, or set the \
                 voters from before it to give it up",
                change.number, change.operator
            );
            Response::error(409, "voters_changing", message).passing()
        }
        Some(VotersOutcome::Conflict(voters)) => {
            let message =
                format!("the voters are {}; get them and ask again", quoted_names(&voters));
            Response::error(409, "conflict", message)
        }
        Some(VotersOutcome::Reused(change)) => {
            let message = format!("order \"{}\" was change {}", change.order, change.number);
            Response::error(409, "order_reused", message)
        }
        Some(VotersOutcome::Finished | VotersOutcome::Malformed) | None => {
            Response::error(500, "malformed_outcome", "the log gave no known outcome")
        }
    }
}

fn voters_json(settings: &Settings, voters: &Voters) -> serde_json::Value {
    let target = match voters.target() {
        [] => sorted(settings.voters.clone()),
        target => target.to_vec(),
    };
    json!({ "voters": target, "running": voters.running(), "audit": voters.changes() })
}

fn quoted_names(voters: &[Instance]) -> String {
    let names: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    names.join(", ")
}
