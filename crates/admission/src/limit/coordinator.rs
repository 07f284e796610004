//! Coordinator side of account limits.

use std::time::Instant;

use names::Instance;

use super::{
    AccountKey, BASE_SHARE, Demand, GRANT_LIFETIME, Grant, Grants, Limit, Report, RequestsPerHour,
    find_limit, sort_limits,
};

/// Grant that the instance may still hold.
#[derive(Debug)]
struct HeldGrant {
    sequence: u64,
    per_second: f64,
    deadline: Instant,
}

/// Demand and grants of one instance.
#[derive(Debug)]
struct InstanceClaim {
    instance: Instance,
    demand: f64,
    grants: Vec<HeldGrant>,
}

impl InstanceClaim {
    /// Removes grants that have expired at `now`. Returns whether any grant remains.
    fn expire(&mut self, now: Instant) -> bool {
        self.grants.retain(|grant| now < grant.deadline);
        !self.grants.is_empty()
    }

    /// Returns the largest rate in requests per second that the instance may still hold.
    fn max_held_rate(&self) -> f64 {
        self.grants.iter().map(|grant| grant.per_second).fold(0.0, f64::max)
    }
}

/// State of one account.
#[derive(Debug)]
struct AccountEntry {
    account: AccountKey,
    /// Time before which no grants are issued.
    grants_start_at: Instant,
    /// Sorted by instance.
    claims: Vec<InstanceClaim>,
}

/// Coordinator that divides the limits of its accounts among the instances.
///
/// The sum of active grants never exceeds the pool, which is the limit without base shares
/// multiplied by the fraction of instances that are reachable. After a change of this fraction, an
/// account that is new at this coordinator gets no grants until those of an earlier coordinator
/// have expired.
#[derive(Debug)]
pub struct LimitCoordinator {
    limits: Vec<Limit>,
    reachable_fraction: f64,
    /// Time before which accounts that are new at this coordinator get no grants.
    grants_start_at: Option<Instant>,
    /// Sorted by account.
    accounts: Vec<AccountEntry>,
}

impl LimitCoordinator {
    /// Creates a coordinator that reaches `reachable` of `instances` instances.
    pub fn new(reachable: u32, instances: u32) -> Self {
        Self {
            limits: Vec::new(),
            reachable_fraction: fraction(reachable, instances),
            grants_start_at: None,
            accounts: Vec::new(),
        }
    }

    /// Records that the coordinator reaches `reachable` of `instances` instances from `now` on.
    pub fn set_reachable(&mut self, now: Instant, reachable: u32, instances: u32) {
        self.reachable_fraction = fraction(reachable, instances);
        self.grants_start_at = Some(now + GRANT_LIFETIME);
    }

    /// Sets the declared limits.
    pub fn set_limits(&mut self, limits: Vec<Limit>) {
        self.limits = sort_limits(limits);
    }

    /// Returns the number of tracked accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Handles a report of `instance` and returns the grants for its accounts.
    pub fn handle_report(&mut self, now: Instant, instance: &Instance, report: Report) -> Grants {
        let mut grants = Vec::new();
        for demand in report.demands {
            let Some(limit) = find_limit(&self.limits, demand.account) else {
                continue;
            };
            let pool = limit * (1.0 - BASE_SHARE) * self.reachable_fraction;
            let entry = self.account_entry(now, demand.account);
            let granted = entry.grant(now, instance, report.sequence, &demand, pool);
            grants.push(Grant { account: demand.account, rate: granted });
        }
        Grants { sequence: report.sequence, grants }
    }

    fn account_entry(&mut self, now: Instant, account: AccountKey) -> &mut AccountEntry {
        let found = self.accounts.binary_search_by(|entry| entry.account.cmp(&account));
        let index = found.unwrap_or_else(|index| {
            let grants_start_at = self.grants_start_at.unwrap_or(now);
            self.accounts
                .insert(index, AccountEntry { account, grants_start_at, claims: Vec::new() });
            index
        });
        &mut self.accounts[index]
    }

    /// Removes accounts without active grants.
    pub fn expire(&mut self, now: Instant) {
        self.accounts.retain_mut(|entry| {
            entry.claims.retain_mut(|claim| claim.expire(now));
            !entry.claims.is_empty()
        });
    }
}

impl AccountEntry {
    /// Grants `instance` its fair share of `pool`, limited to the part of the pool that is not
    /// granted to other instances.
    fn grant(
        &mut self,
        now: Instant,
        instance: &Instance,
        sequence: u64,
        demand: &Demand,
        pool: f64,
    ) -> RequestsPerHour {
        self.claims.retain_mut(|claim| claim.expire(now));
        let found = self.claims.binary_search_by(|claim| claim.instance.cmp(instance));
        let demanded_rate = demand.rate.as_per_second();
        let index = found.unwrap_or_else(|index| {
            let claim = InstanceClaim {
                instance: instance.clone(),
                demand: demanded_rate,
                grants: Vec::new(),
            };
            self.claims.insert(index, claim);
            index
        });
        self.claims[index].demand = demanded_rate;
        let fair_rate = fair_share(&self.claims, demanded_rate, pool);
        let others = self.claims.iter().enumerate().filter(|(other, _)| *other != index);
        let held_rate: f64 = others.map(|(_, claim)| claim.max_held_rate()).sum();
        let available = if now < self.grants_start_at { 0.0 } else { (pool - held_rate).max(0.0) };
        let granted = RequestsPerHour::from_per_second(fair_rate.min(available));
        let grants = &mut self.claims[index].grants;
        grants.retain(|grant| grant.sequence >= demand.held_sequence);
        let deadline = now + GRANT_LIFETIME;
        grants.push(HeldGrant { sequence, per_second: granted.as_per_second(), deadline });
        granted
    }
}

/// Returns the max-min fair share of `pool` for `demand`, a demand of one of the `claims`: no claim
/// gets more than another one with an unmet demand. The rest of the pool is shared evenly.
fn fair_share(claims: &[InstanceClaim], demand: f64, pool: f64) -> f64 {
    let mut demands: Vec<f64> = claims.iter().map(|claim| claim.demand).collect();
    demands.sort_by(f64::total_cmp);
    let mut remaining = pool;
    for (index, other_demand) in demands.iter().enumerate() {
        let level = remaining / (demands.len() - index) as f64;
        if *other_demand >= level {
            return demand.min(level);
        }
        remaining -= other_demand;
    }
    demand + remaining / demands.len() as f64
}

fn fraction(reachable: u32, instances: u32) -> f64 {
    f64::from(reachable.min(instances)) / f64::from(instances.max(1))
}
