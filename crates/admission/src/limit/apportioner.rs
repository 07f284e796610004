//! A coordinator's side of account limits.

use std::time::Instant;

use names::Instance;

use super::{
    AccountKey, BASE_SHARE, Demand, GRANT_LIFETIME, Grant, Grants, Hourly, Limit, Report,
    find_limit, sorted,
};

/// A grant that the instance may still hold.
#[derive(Debug)]
struct Held {
    sequence: u64,
    per_second: f64,
    deadline: Instant,
}

#[derive(Debug)]
struct Claim {
    instance: Instance,
    demand: f64,
    grants: Vec<Held>,
}

impl Claim {
    /// Forgets grants that have lapsed by `now`.
    fn expire(&mut self, now: Instant) -> bool {
        self.grants.retain(|held| now < held.deadline);
        !self.grants.is_empty()
    }

    /// The largest grant that the instance may still hold.
    fn held(&self) -> f64 {
        self.grants.iter().map(|held| held.per_second).fold(0.0, f64::max)
    }
}

#[derive(Debug)]
struct Entry {
    account: AccountKey,
    opens_at: Instant,
    claims: Vec<Claim>,
}

/// Shares the limits of the accounts that this instance coordinates.
///
/// The sum of grants in force never exceeds the pool: the limit without base shares, times the
/// part of all instances that can be reached. After a change of that part, an account that is
/// new here gets no grants until those of an earlier coordinator have lapsed.
#[derive(Debug)]
pub struct Apportioner {
    limits: Vec<Limit>,
    reachable_share: f64,
    opens_at: Option<Instant>,
    entries: Vec<Entry>,
}

impl Apportioner {
    /// A coordinator that reaches `reachable` of `instances` instances.
    pub fn new(reachable: u32, instances: u32) -> Self {
        Self {
            limits: Vec::new(),
            reachable_share: share(reachable, instances),
            opens_at: None,
            entries: Vec::new(),
        }
    }

    /// Takes note that from `now` on it reaches `reachable` of `instances` instances.
    pub fn set_reachable(&mut self, now: Instant, reachable: u32, instances: u32) {
        self.reachable_share = share(reachable, instances);
        self.opens_at = Some(now + GRANT_LIFETIME);
    }

    /// Sets the declared limits.
    pub fn set_limits(&mut self, limits: Vec<Limit>) {
        self.limits = sorted(limits);
    }

    /// Number of accounts remembered.
    pub fn active(&self) -> usize {
        self.entries.len()
    }

    /// Takes a report of `instance` and answers it.
    pub fn take(&mut self, now: Instant, instance: &Instance, report: Report) -> Grants {
        let mut grants = Vec::new();
        for demand in report.demands {
            let Some(limit) = find_limit(&self.limits, demand.account) else {
                continue;
            };
            let pool = limit * (1.0 - BASE_SHARE) * self.reachable_share;
            let entry = self.entry(now, demand.account);
            let granted = entry.grant(now, instance, report.sequence, &demand, pool);
            grants.push(Grant { account: demand.account, rate: granted });
        }
        Grants { sequence: report.sequence, grants }
    }

    fn entry(&mut self, now: Instant, account: AccountKey) -> &mut Entry {
        let found = self.entries.binary_search_by(|entry| entry.account.cmp(&account));
        let index = found.unwrap_or_else(|index| {
            let opens_at = self.opens_at.unwrap_or(now);
            self.entries.insert(index, Entry { account, opens_at, claims: Vec::new() });
            index
        });
        &mut self.entries[index]
    }

    /// Forgets accounts without grants in force.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain_mut(|entry| {
            entry.claims.retain_mut(|claim| claim.expire(now));
            !entry.claims.is_empty()
        });
    }
}

impl Entry {
    /// Grants `instance` its share of `pool`, as far as others hold no grants on it.
    fn grant(
        &mut self,
        now: Instant,
        instance: &Instance,
        sequence: u64,
        demand: &Demand,
        pool: f64,
    ) -> Hourly {
        self.claims.retain_mut(|claim| claim.expire(now));
        let found = self.claims.binary_search_by(|claim| claim.instance.cmp(instance));
        let asked = demand.rate.as_per_second();
        let index = found.unwrap_or_else(|index| {
            let claim = Claim { instance: instance.clone(), demand: asked, grants: Vec::new() };
            self.claims.insert(index, claim);
            index
        });
        self.claims[index].demand = asked;
        let fair = fair_share(&self.claims, asked, pool);
        let others = self.claims.iter().enumerate().filter(|(other, _)| *other != index);
        let held: f64 = others.map(|(_, claim)| claim.held()).sum();
        let open = if now < self.opens_at { 0.0 } else { (pool - held).max(0.0) };
        let granted = Hourly::from_per_second(fair.min(open));
        let grants = &mut self.claims[index].grants;
        grants.retain(|held| held.sequence >= demand.held);
        let deadline = now + GRANT_LIFETIME;
        grants.push(Held { sequence, per_second: granted.as_per_second(), deadline });
        granted
    }
}

/// The part of `pool` for a demand: no claim gets more while one with less demand is unmet; what
/// is left over is shared evenly.
fn fair_share(claims: &[Claim], demand: f64, pool: f64) -> f64 {
    let mut demands: Vec<f64> = claims.iter().map(|claim| claim.demand).collect();
    demands.sort_by(f64::total_cmp);
    let mut left = pool;
    for (index, lesser) in demands.iter().enumerate() {
        let level = left / (demands.len() - index) as f64;
        if *lesser >= level {
            return demand.min(level);
        }
        left -= lesser;
    }
    demand + left / demands.len() as f64
}

fn share(reachable: u32, instances: u32) -> f64 {
    f64::from(reachable.min(instances)) / f64::from(instances.max(1))
}
