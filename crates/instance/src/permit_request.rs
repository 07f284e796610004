//! Permit requests and their outcomes, and the permit node of this instance.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admission::Tokens;
use declare::{Rank, Target};
use membership::Member;
use names::{ClientAccount, Instance, Kind, Upstream};
use permit::{Node, PermitId};
use placement::LoadBound;
use rand::RngExt;
use settings::Settings;
use stakker::Ret;

use crate::router::Route;

/// Load bound that no upstream reaches, in percent of the mean load.
const UNLIMITED_LOAD_PERCENT: u32 = 1_000_000;

/// Estimated number of request bytes per token.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;

/// A request for a permit.
pub(crate) struct PermitRequest {
    pub(crate) id: names::Request,
    pub(crate) target: Target,
    pub(crate) key: u64,
    /// Upstreams that are excluded, because earlier attempts of the request were made there or
    /// because they are unhealthy.
    pub(crate) excluded: Vec<Upstream>,
    pub(crate) account: ClientAccount,
    pub(crate) kind: Kind,
    pub(crate) rank: Rank,
    pub(crate) deadline: Instant,
    pub(crate) cost: Tokens,
}

/// Returns the estimated number of prompt tokens plus the maximum number of answer tokens.
fn expected_cost(route: &Route) -> Tokens {
    let prompt = 1 + route.body.len() as u64 / BYTES_PER_TOKEN;
    Tokens(prompt.saturating_add(route.answer_tokens))
}

impl PermitRequest {
    pub(crate) fn new(id: names::Request, route: &Route, excluded: Vec<Upstream>) -> Self {
        Self {
            id,
            target: route.target.clone(),
            key: route.placement_key,
            excluded,
            account: route.account.clone(),
            kind: route.kind.clone(),
            rank: route.rank,
            deadline: route.deadline,
            cost: expected_cost(route),
        }
    }
}

/// Permission to call an upstream once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Permit {
    pub(crate) id: PermitId,
    pub(crate) upstream: Upstream,
    /// Run of the upstream, or 0 if the upstream has left since the permit was granted.
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) cost: Tokens,
    /// Engine that has the context of the conversation, if that engine and the upstream can both
    /// transfer context.
    pub(crate) context_source: Option<(Upstream, SocketAddr)>,
}

/// Outcome of a permit request.
pub(crate) enum PlacementOutcome {
    Granted(Permit),
    Full { retry_after: Duration },
    NoUpstream,
}

/// A request that waits for a permit.
pub(crate) struct PendingPermit {
    pub(crate) number: u64,
    pub(crate) id: names::Request,
    pub(crate) cost: Tokens,
    pub(crate) reply: Ret<PlacementOutcome>,
}

/// Creates the permit node of this instance.
///
/// Only the bounded placement policy has a load bound; the baseline policies run without one.
pub(crate) fn permit_node(now: Instant, settings: &Settings) -> Node {
    let policies = &settings.policies;
    let seed = rand::rng().random();
    let policy = policies.placement.policy(policies.load_bound_percent, seed);
    let bound = match policies.placement {
        placement::PolicyKind::Bounded => policies.load_bound_percent,
        _ => LoadBound::try_from(UNLIMITED_LOAD_PERCENT).unwrap_or_default(),
    };
    let (admission, max_waiting) = (policies.admission, policies.max_waiting);
    let new_queue = Box::new(move || admission.create_queue(0, max_waiting));
    Node::new(now, settings.instance.clone(), bound, policy, new_queue, seed)
}

/// Returns the members that have a newer incarnation than in `last_known`. The earlier run of each
/// returned member has certainly ended.
pub(crate) fn restarted_members(members: &[Member], last_known: &[Member]) -> Vec<Instance> {
    let is_restarted = |member: &&Member| {
        let mut earlier = last_known.iter().filter(|known| known.instance == member.instance);
        earlier.any(|known| known.incarnation < member.incarnation)
    };
    members.iter().filter(is_restarted).map(|member| member.instance.clone()).collect()
}
