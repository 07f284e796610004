//! The operators' way to change who votes on the log.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use names::{Instance, Operator};
use operator::{Request, Response};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;
use settings::Settings;
use stakker::{CX, Ret};
use state::{Index, Input, Proposed, Voters, VotersCommand, VotersOutcome};

use super::{Part, Replica};
use crate::config::Access;
use crate::operators::PendingRequest;

/// Numbers of voters of which a minority may be lost.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];

/// Pause between two proposals that a change has ended.
const FINISH_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two replacements of voters, so that the first can take effect.
const REPLACE_PAUSE: Duration = Duration::from_secs(2);

/// The name under which the fleet's own repairs are listed.
const REPAIR_OPERATOR: &str = "repair";

/// Most characters of an order.
const MAX_ORDER_BYTES: usize = 64;

/// The body of a request to change the voters.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    /// The voters that the operator knows.
    from: Vec<Instance>,
    /// The voters that shall be.
    to: Vec<Instance>,
}

impl Replica {
    /// Answers `GET /state/voters`, out of the log.
    pub(super) fn show_voters(&mut self, cx: CX![], pending: PendingRequest) {
        match Access::new(&self.settings).check_reader(&pending.request) {
            Ok(()) => self.propose_voters(cx, pending, &VotersCommand::Show),
            Err(refusal) => pending.respond(refusal),
        }
    }

    /// Takes `POST /state/voters`.
    pub(super) fn change_voters(&mut self, cx: CX![], pending: PendingRequest) {
        let access = Access::new(&self.settings);
        let command = access
            .check_writer(&pending.request)
            .and_then(|operator| read(&pending.request, operator, &self.settings));
        match command {
            Ok(command) => self.propose_voters(cx, pending, &command),
            Err(refusal) => pending.respond(refusal),
        }
    }

    fn propose_voters(&mut self, cx: CX![], pending: PendingRequest, command: &VotersCommand) {
        let settings = self.settings.clone();
        let proposed = Ret::new(move |proposed: Option<Proposed>| {
            pending.respond(respond(&settings, proposed));
        });
        let command = postcard::to_allocvec(command).unwrap_or_default();
        self.propose(cx, Part::Voters, command, proposed);
    }

    /// Tells the core who shall vote.
    pub(super) fn retarget(&mut self, cx: CX![], _: Index) {
        let target = self.voters.borrow().target().to_vec();
        self.step(cx, Instant::now(), Input::Target(target));
        self.update(cx);
    }

    /// Ends the running change at the leader once the voters are as it says.
    pub(super) fn finish_change(&mut self, cx: CX![], now: Instant) {
        let running = self.voters.borrow().running().map(|running| running.number);
        let Some(number) = running else {
            return;
        };
        let is_reached = self.keeper.as_ref().is_some_and(|keeper| {
            keeper.core().is_leading(now) && keeper.core().has_target_members()
        });
        if is_reached && self.finish_again_at.is_none_or(|again_at| again_at <= now) {
            self.finish_again_at = Some(now + FINISH_PAUSE);
            let command = postcard::to_allocvec(&VotersCommand::Finish { number });
            let proposed = Ret::new(|_: Option<Proposed>| {});
            self.propose(cx, Part::Voters, command.unwrap_or_default(), proposed);
        }
    }
}

impl Replica {
    /// Has the leader of a seeded fleet replace a silent voter by a spare instance.
    pub(super) fn replace_voters(&mut self, cx: CX![], now: Instant) {
        let is_paused = self.replace_again_at.is_some_and(|again_at| now < again_at);
        if !self.settings.is_seeded() || is_paused {
            return;
        }
        let wanted = self.settings.voters_wanted();
        let core = self.keeper.as_ref().map(|keeper| keeper.core());
        let Some(to) = core.and_then(|core| core.replacement(now, wanted)) else {
            return;
        };
        let Ok(operator) = Operator::try_from(REPAIR_OPERATOR.to_string()) else {
            return;
        };
        log::info!("the voters shall be {}", names(&to));
        self.replace_again_at = Some(now + REPLACE_PAUSE);
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let command = postcard::to_allocvec(&VotersCommand::Repair { operator, at, to });
        let proposed = Ret::new(|_: Option<Proposed>| {});
        self.propose(cx, Part::Voters, command.unwrap_or_default(), proposed);
    }
}

fn invalid(message: String) -> Response {
    Response::error(400, "invalid_voters", message)
}

fn read(
    request: &Request,
    operator: Operator,
    settings: &Settings,
) -> Result<VotersCommand, Response> {
    let asked: Asked = serde_json::from_slice(&request.body)
        .map_err(|error| invalid(format!("the body does not name voters: {error}")))?;
    let (from, to) = (sorted(asked.from), sorted(asked.to));
    if !VOTER_COUNTS.contains(&to.len()) {
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
        Some(order) if order.len() > MAX_ORDER_BYTES => {
            return Err(invalid(format!("the order has more than {MAX_ORDER_BYTES} characters")));
        }
        Some(order) => order.to_string(),
        None => format!("{:016x}", rand::rng().random::<u64>()),
    };
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    Ok(VotersCommand::Amend { order, operator, at, from, to })
}

fn sorted(mut voters: Vec<Instance>) -> Vec<Instance> {
    voters.sort();
    voters.dedup();
    voters
}

fn respond(settings: &Settings, proposed: Option<Proposed>) -> Response {
    let outcome = match proposed {
        Some(Proposed::Applied { outcome, .. }) => postcard::from_bytes(&outcome).ok(),
        Some(Proposed::NotRun) => {
            let message = "no leader of the replicated log is within reach; nothing was changed";
            return Response::error(503, "not_run", message);
        }
        Some(Proposed::Unknown) | None => {
            let message = "the leader did not answer; send the order again under its id";
            return Response::error(504, "may_have_run", message);
        }
    };
    match outcome {
        Some(VotersOutcome::Known(voters)) => Response::json(200, &page(settings, &voters)),
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
            let message = format!("the voters are {}; get them and ask again", names(&voters));
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

fn page(settings: &Settings, voters: &Voters) -> serde_json::Value {
    let target = match voters.target() {
        [] => sorted(settings.voters.clone()),
        target => target.to_vec(),
    };
    json!({ "voters": target, "running": voters.running(), "audit": voters.changes() })
}

fn names(voters: &[Instance]) -> String {
    let names: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    names.join(", ")
}
