//! Findings in valid declarations: entries that can never match, and values that contradict each
//! other.

use crate::{ClientAccount, Declarations, Kind, RoleChange, Section, Selector};

/// An entry of valid declarations that cannot have the intended effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Section of the entry.
    pub section: Section,
    /// Name of the entry.
    pub name: String,
    /// What is wrong, and what callers or operators would see.
    pub problem: String,
    /// Suggested correction.
    pub help: &'static str,
}

/// Returns the findings in `declarations`, which must be valid, in the order of their sections.
pub fn findings(declarations: &Declarations) -> Vec<Finding> {
    let kinds = declarations.kinds.iter().filter_map(expired_kind);
    let mut findings: Vec<Finding> = kinds.collect();
    findings.extend(contradictory_selectors(declarations));
    findings.extend(declarations.client_accounts.iter().filter_map(account_without_keys));
    findings.extend(declarations.client_accounts.iter().filter_map(account_without_requests));
    findings.extend(role_changes_without_engines(&declarations.role_changes));
    findings.sort_by(|left, right| (left.section, &left.name).cmp(&(right.section, &right.name)));
    findings
}

/// A kind of work with a deadline of 0. Every request of this kind expires on its arrival, also
/// those that name a later deadline, because the kind limits the deadline of a request. Callers get
/// 429 `overloaded`, since no upstream answers in time, or 504 `deadline`.
fn expired_kind(kind: &Kind) -> Option<Finding> {
    kind.deadline.as_duration().is_zero().then(|| Finding {
        section: Section::Kind,
        name: kind.name.to_string(),
        problem: "the deadline is 0, so that every request of this kind expires on its arrival"
            .to_string(),
        help: "give the time within which an answer is useful",
    })
}

/// Selectors that no labels satisfy. Callers of such a service get 503, because it has no upstream.
/// Such drains, rollouts and role changes do nothing.
fn contradictory_selectors(declarations: &Declarations) -> Vec<Finding> {
    let services = declarations.services.iter().filter_map(|service| match &service.target {
        crate::Target::Upstreams(selector) => {
            Some((Section::Service, service.name.to_string(), selector))
        }
        crate::Target::Model(_) => None,
    });
    let drains = declarations.drains.iter().map(|drain| (Section::Drain, drain.to_string(), drain));
    let rollouts = declarations
        .rollouts
        .iter()
        .map(|rollout| (Section::Rollout, rollout.model.to_string(), &rollout.upstreams));
    let role_changes = declarations
        .role_changes
        .iter()
        .map(|change| (Section::RoleChange, change.role.clone(), &change.upstreams));
    let selectors = services.chain(drains).chain(rollouts).chain(role_changes);
    selectors
        .filter_map(|(section, name, selector)| contradictory_selector(section, name, selector))
        .collect()
}

fn contradictory_selector(section: Section, name: String, selector: &Selector) -> Option<Finding> {
    let key = selector.contradiction()?;
    Some(Finding {
        section,
        name,
        problem: format!(
            "no value of the label \"{key}\" satisfies the selector, so that it matches no upstream"
        ),
        help: "list alternative values in one condition, such as `rack in (7, 8)`",
    })
}

/// A client account without keys. No request can belong to it, because callers are recognized by
/// their API key alone: its callers get 401.
fn account_without_keys(account: &ClientAccount) -> Option<Finding> {
    account.keys.is_empty().then(|| Finding {
        section: Section::ClientAccount,
        name: account.name.to_string(),
        problem: "it has no keys, so that no request can belong to it".to_string(),
        help: "add the hash of a key from `turmericrelay hash-key`, or remove the account",
    })
}

/// A client account with a limit of 0. Callers get 429 for all requests but the first two at each
/// instance, which the limiter admits as a burst.
fn account_without_requests(account: &ClientAccount) -> Option<Finding> {
    let is_zero = account.limit.is_some_and(|limit| limit.as_per_second() == 0.0);
    is_zero.then(|| Finding {
        section: Section::ClientAccount,
        name: account.name.to_string(),
        problem: "the limit is 0, so that all but a few of its requests are refused".to_string(),
        help: "give a limit above 0, remove the limit, or remove the account",
    })
}

/// Role changes that apply only to engines of an earlier role change. An engine follows the first
/// role change, by name of the role, that applies to it. The later one halts at the first engine and
/// changes none. Selectors that merely may overlap are no finding.
fn role_changes_without_engines(changes: &[RoleChange]) -> impl Iterator<Item = Finding> {
    let is_possible = |change: &&RoleChange| change.upstreams.contradiction().is_none();
    changes.iter().filter(is_possible).enumerate().filter_map(move |(index, change)| {
        let mut earlier = changes.iter().filter(is_possible).take(index);
        let first = earlier.find(|other| change.upstreams.is_part_of(&other.upstreams))?;
        Some(Finding {
            section: Section::RoleChange,
            name: change.role.clone(),
            problem: format!(
                "the role change \"{}\" applies to all of its engines and takes precedence, so that \
                 none gets this role",
                first.role
            ),
            help: "choose other engines by their labels, or remove one of the role changes",
        })
    })
}
