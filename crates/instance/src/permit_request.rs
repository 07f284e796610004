//! Requests for permits and their outcomes, and the part of this instance in giving them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admission::Tokens;
use declare::{Rank, Target};
use membership::Member;
use names::{ClientAccount, Instance, Kind, Upstream};
use permit::{Node, PermitId};
use placement::Bound;
use rand::RngExt;
use settings::Settings;
use stakker::Ret;

use crate::router::Route;

/// A bound that no load reaches, in percent of the mean.
const UNBOUNDED_PERCENT: u32 = 1_000_000;

/// Bytes of a request for each token of its expected cost.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;

/// A request for a permit.
pub(crate) struct Wanted {
    pub(crate) id: names::Request,
    pub(crate) target: Target,
    pub(crate) key: u64,
    pub(crate) tried: Vec<Upstream>,
    pub(crate) account: ClientAccount,
    pub(crate) kind: Kind,
    pub(crate) rank: Rank,
    pub(crate) deadline: Instant,
    pub(crate) cost: Tokens,
}

/// Tokens of the prompt and, at most, of the answer.
fn expected_cost(route: &Route) -> Tokens {
    let prompt = 1 + route.body.len() as u64 / BYTES_PER_TOKEN;
    Tokens(prompt.saturating_add(route.answer_tokens))
}

impl Wanted {
    pub(crate) fn new(id: names::Request, route: &Route, tried: Vec<Upstream>) -> Self {
        Self {
            id,
            target: route.target.clone(),
            key: route.placement_key,
            tried,
            account: route.account.clone(),
            kind: route.kind.clone(),
            rank: route.rank,
            deadline: route.deadline,
            cost: expected_cost(route),
        }
    }
}

/// Leave to call an upstream once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Permit {
    pub(crate) id: PermitId,
    pub(crate) upstream: Upstream,
    pub(crate) address: SocketAddr,
    pub(crate) cost: Tokens,
    /// The engine with the context of the conversation, when both can move it.
    pub(crate) context_at: Option<(Upstream, SocketAddr)>,
}

/// Outcome of asking for a permit.
pub(crate) enum Placed {
    Granted(Permit),
    Full { retry_after: Duration },
    NoUpstream,
}

/// A request that has no permit yet.
pub(crate) struct Asking {
    pub(crate) number: u64,
    pub(crate) id: names::Request,
    pub(crate) cost: Tokens,
    pub(crate) placed: Ret<Placed>,
}

/// This instance's part in giving permits. Baselines of placement go without the load bound.
pub(crate) fn node(now: Instant, settings: &Settings) -> Node {
    let policies = &settings.policies;
    let seed = rand::rng().random();
    let policy = policies.placement.policy(policies.load_bound_percent, seed);
    let bound = match policies.placement {
        placement::Choice::Bounded => policies.load_bound_percent,
        _ => Bound::try_from(UNBOUNDED_PERCENT).unwrap_or_default(),
    };
    let (admission, max_waiting) = (policies.admission, policies.max_waiting);
    let desk = Box::new(move || admission.desk(0, max_waiting));
    Node::new(now, settings.instance.clone(), bound, policy, desk, seed)
}

/// Members of which an earlier run is `known`; that run has ended for certain.
pub(crate) fn replaced(members: &[Member], known: &[Member]) -> Vec<Instance> {
    let is_replaced = |member: &&Member| {
        let mut earlier = known.iter().filter(|one| one.instance == member.instance);
        earlier.any(|one| one.incarnation < member.incarnation)
    };
    members.iter().filter(is_replaced).map(|member| member.instance.clone()).collect()
}
