//! Findings in a catalogue: entries that can never match, and limits that contradict each other.

use crate::{Account, Catalogue, Entry, Limits, Route, Target, differences};

/// Part of the memory of an instance that is the budget for what is held for callers. A single
/// request may use less than that, so that what exceeds it never fits.
const MEMORY_BUDGET_DIVISOR: usize = 2;

/// An entry of a catalogue that cannot have the intended effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The entry.
    pub entry: Entry,
    /// What is wrong, and what callers or operators would see.
    pub problem: String,
    /// Suggested correction.
    pub help: &'static str,
}

/// Returns the findings in `catalogue` for instances of which each may use at least `memory_bytes`
/// bytes. If the memory is unknown, nothing is compared with it.
pub fn findings(catalogue: &Catalogue, memory_bytes: Option<usize>) -> Vec<Finding> {
    let routes = catalogue.routes();
    let accounts = catalogue.accounts().unwrap_or_default();
    let limits = catalogue.limits();
    let mut findings: Vec<Finding> =
        memory_bytes.map_or_else(Vec::new, |bytes| large_limits(limits, bytes));
    for route in routes {
        findings.extend(unused_targets(route));
        findings.extend(long_location(route, limits));
        findings.extend(invalid_location(route));
        findings.extend(late_objective(route));
        findings.extend(route_without_callers(route, catalogue));
    }
    findings.extend(services_without_routes(catalogue));
    findings.extend(accounts.iter().filter_map(account_without_keys));
    findings
}

/// Returns a finding if the document of `after` has no effect in a fleet that has `before`, although
/// they differ. Documents with a lower or equal number are acknowledged and ignored, so that callers
/// are served by the earlier document.
pub fn outdated(before: &Catalogue, after: &Catalogue) -> Option<Finding> {
    let has_no_effect = after.number() <= before.number();
    (has_no_effect && !differences(before, after).is_empty()).then(|| Finding {
        entry: Entry::Number,
        problem: format!(
            "{} is not above {}, the number in force, so that the document is ignored",
            after.number(),
            before.number()
        ),
        help: "give the document a higher number",
    })
}

/// Limits on heads and bodies above the memory of an instance. Callers that send such a request get
/// 503 each time, although the request is within the limit.
fn large_limits(limits: &Limits, memory_bytes: usize) -> Vec<Finding> {
    let budget = memory_bytes / MEMORY_BUDGET_DIVISOR;
    let sizes = [("heads", limits.head_bytes), ("bodies", limits.body_bytes)];
    let too_large = sizes.into_iter().filter(|(_, bytes)| *bytes > budget);
    too_large
        .map(|(what, bytes)| Finding {
            entry: Entry::Limits,
            problem: format!(
                "{what} of {bytes} bytes are allowed, but an instance holds at most {budget} bytes \
                 for callers, so that the largest ones never fit"
            ),
            help: "lower the limit, or give the instances more memory",
        })
        .collect()
}

/// Targets of weight 0. The route never chooses them, also while all of its other services have no
/// upstreams: callers get 503 then.
fn unused_targets(route: &Route) -> impl Iterator<Item = Finding> {
    let unused = route.targets.iter().filter(|target| target.weight == 0);
    unused.map(|target| Finding {
        entry: Entry::Route(route.name.clone()),
        problem: format!(
            "the weight of service \"{}\" is 0, so that it gets no request of this route",
            target.service
        ),
        help: "give it a weight above 0, or remove it from the route",
    })
}

/// A host and a prefix that together are longer than the limit on heads. A head contains both, so
/// that callers get 431 for every request.
fn long_location(route: &Route, limits: &Limits) -> Option<Finding> {
    let bytes = route.host.len() + route.prefix.len();
    (bytes > limits.head_bytes).then(|| Finding {
        entry: Entry::Route(route.name.clone()),
        problem: format!(
            "host and prefix have {bytes} bytes, more than the {} bytes of the largest head, so that \
             every request is refused",
            limits.head_bytes
        ),
        help: "raise the limit on heads, or shorten the prefix",
    })
}

/// A host or prefix that no request can have. Hosts of requests are compared without their port, and
/// paths without what follows a question mark or hash. Callers get another route, or 404.
fn invalid_location(route: &Route) -> Option<Finding> {
    let is_invalid =
        |character: char| matches!(character, '?' | '#' | ' ') || character.is_ascii_control();
    let problem = if route.host.contains(':') {
        "the host has a port, without which hosts of requests are compared"
    } else if route.prefix.contains(is_invalid) {
        "the prefix has a character that no path of a request has"
    } else {
        return None;
    };
    Some(Finding {
        entry: Entry::Route(route.name.clone()),
        problem: format!("{problem}, so that no request matches the route"),
        help: "leave out the port, and use only characters of paths in the prefix",
    })
}

/// An objective above the timeout. An answer that meets the objective is cut off by the timeout:
/// callers get 504 although the answer would be on time. Repeatable requests are never moved away
/// from a slow upstream, because the objective decides when that happens.
fn late_objective(route: &Route) -> Option<Finding> {
    (route.objective > route.timeout).then(|| Finding {
        entry: Entry::Route(route.name.clone()),
        problem: format!(
            "the objective ({:?}) is above the timeout ({:?}), which ends requests before",
            route.objective, route.timeout
        ),
        help: "raise the timeout, or lower the objective",
    })
}

/// A route that needs an API key in a catalogue whose accounts have none. All callers get 401.
fn route_without_callers(route: &Route, catalogue: &Catalogue) -> Option<Finding> {
    let accounts = catalogue.accounts()?;
    let has_keys = accounts.iter().any(|account| !account.keys.is_empty());
    (!has_keys && !route.is_anonymous).then(|| Finding {
        entry: Entry::Route(route.name.clone()),
        problem: "it needs an API key, but no client account has one, so that every request is \
                  refused"
            .to_string(),
        help: "give a client account a key, or allow requests without one",
    })
}

/// Services that no route names. Their upstreams get no requests. A service that a route names with
/// the weight 0 is a finding of the route.
fn services_without_routes(catalogue: &Catalogue) -> Vec<Finding> {
    let targets = || catalogue.routes().iter().flat_map(|route| &route.targets);
    let is_named = |name: &names::Service| targets().any(|target: &Target| target.service == *name);
    let unnamed = catalogue.services().iter().filter(|service| !is_named(&service.name));
    unnamed
        .map(|service| Finding {
            entry: Entry::Service(service.name.clone()),
            problem: "no route leads to it, so that its upstreams get no requests".to_string(),
            help: "add it to a route, or remove it",
        })
        .collect()
}

/// A client account without keys. No request can belong to it, because callers are recognized by
/// their API key alone: its callers get 401, or no account on routes that need none.
fn account_without_keys(account: &Account) -> Option<Finding> {
    account.keys.is_empty().then(|| Finding {
        entry: Entry::Account(account.name.clone()),
        problem: "it has no keys, so that no request can belong to it".to_string(),
        help: "give it a key, or remove it",
    })
}
