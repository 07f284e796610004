//! Refusals of owners that an instance repeats without asking again.
//!
//! An owner that refuses a request tells when to come back. Until then, requests of the same
//! account and kind of work that cost as much and have no more time are refused at once, but for
//! one, which finds out whether the owners still refuse.

use std::time::{Duration, Instant};

use admission::Tokens;
use names::{ClientAccount, Kind};

use crate::{Pool, Wanted};

/// Longest time that a refusal is repeated.
const MAX_CLOSED: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Gate {
    pool: Pool,
    account: ClientAccount,
    kind: Kind,
    /// The least cost that was refused.
    cost: Tokens,
    /// The most time that a refused request had.
    allowance: Duration,
    opens_at: Instant,
    is_probed: bool,
}

impl Gate {
    fn is_of(&self, wanted: &Wanted) -> bool {
        self.account == wanted.account
            && self.kind == wanted.kind
            && self.pool == Pool::from(wanted.target.clone())
    }
}

/// The refusals in force.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: Vec<Gate>,
}

impl Gates {
    /// When to come back, if the owners would refuse `wanted` now.
    pub(crate) fn refuses(&mut self, now: Instant, wanted: &Wanted) -> Option<Duration> {
        self.gates.retain(|gate| gate.opens_at > now);
        let gate = self.gates.iter_mut().find(|gate| gate.is_of(wanted))?;
        let allowance = wanted.deadline.saturating_duration_since(now);
        if wanted.cost < gate.cost || allowance > gate.allowance {
            return None;
        }
        let is_probe = !std::mem::replace(&mut gate.is_probed, true);
        (!is_probe).then(|| gate.opens_at - now)
    }

    /// Takes note that an owner refused `wanted`, which had `allowance`.
    pub(crate) fn close(
        &mut self,
        now: Instant,
        wanted: &Wanted,
        allowance: Duration,
        retry_after: Duration,
    ) {
        let opens_at = now + retry_after.min(MAX_CLOSED);
        match self.gates.iter_mut().find(|gate| gate.is_of(wanted)) {
            Some(gate) => {
                gate.cost = gate.cost.min(wanted.cost);
                gate.allowance = gate.allowance.max(allowance);
                gate.opens_at = opens_at;
            }
            None => self.gates.push(Gate {
                pool: Pool::from(wanted.target.clone()),
                account: wanted.account.clone(),
                kind: wanted.kind.clone(),
                cost: wanted.cost,
                allowance,
                opens_at,
                is_probed: false,
            }),
        }
    }

    /// Takes note that an owner took `wanted`.
    pub(crate) fn open(&mut self, wanted: &Wanted) {
        self.gates.retain(|gate| !gate.is_of(wanted));
    }
}
