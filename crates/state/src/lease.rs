//! Leases with fencing numbers, as a machine of the replicated log.
//!
//! The machine orders the grants and gives each a greater fencing number than all before it. It
//! reads no clock. A holder counts its lease from before it proposed; a candidate proposes to
//! take a lease over only after it has seen the same grant unrenewed for the whole span of the
//! lease, and names that grant. So the old lease has lapsed at its holder before the new one is
//! granted, whatever the clocks of the two show.

use std::time::{Duration, Instant};

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::{Index, Machine};

/// A command to [`Leases`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// Takes the lease if it is free, or if its grant still has the number `seen` and was last
    /// renewed `renewals` times.
    Take {
        /// What the lease is for.
        resource: String,
        /// Who takes it.
        holder: Instance,
        /// How long it lasts after each renewal, in milliseconds.
        span_millis: u64,
        /// Fencing number of the lapsed grant to replace, and how often it was renewed.
        lapsed: Option<(u64, u64)>,
    },
    /// Renews the grant with the number `fence`.
    Renew {
        /// What the lease is for.
        resource: String,
        /// The number of the grant.
        fence: u64,
    },
    /// Gives the grant with the number `fence` back.
    Release {
        /// What the lease is for.
        resource: String,
        /// The number of the grant.
        fence: u64,
    },
}

/// A lease that someone holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What it is for.
    pub resource: String,
    /// Who holds it.
    pub holder: Instance,
    /// Its fencing number, greater than those of all earlier grants.
    pub fence: u64,
    /// How often it was renewed.
    pub renewals: u64,
    /// How long it lasts after each renewal, in milliseconds.
    pub span_millis: u64,
}

/// The outcome of a [`LeaseCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The lease was granted or renewed.
    Granted(Grant),
    /// Someone else holds it.
    Held(Grant),
    /// The grant was given back.
    Released,
    /// The grant that the command names has ended.
    Ended,
    /// The command is of an unknown form.
    Malformed,
}

/// All leases, sorted by resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    grants: Vec<Grant>,
    last_fence: u64,
}

impl Leases {
    /// The present grant of `resource`.
    pub fn find(&self, resource: &str) -> Option<&Grant> {
        self.position(resource).ok().map(|position| &self.grants[position])
    }

    fn position(&self, resource: &str) -> Result<usize, usize> {
        self.grants.binary_search_by(|grant| grant.resource.as_str().cmp(resource))
    }

    fn execute(&mut self, command: LeaseCommand) -> LeaseOutcome {
        match command {
            LeaseCommand::Take { resource, holder, span_millis, lapsed } => {
                self.take(resource, holder, span_millis, lapsed)
            }
            LeaseCommand::Renew { resource, fence } => self.renew(&resource, fence),
            LeaseCommand::Release { resource, fence } => self.release(&resource, fence),
        }
    }

    fn take(
        &mut self,
        resource: String,
        holder: Instance,
        span_millis: u64,
        lapsed: Option<(u64, u64)>,
    ) -> LeaseOutcome {
        let position = self.position(&resource);
        if let Ok(position) = position {
            let current = &self.grants[position];
            if lapsed != Some((current.fence, current.renewals)) {
                return LeaseOutcome::Held(current.clone());
            }
        }
        self.last_fence += 1;
        let grant = Grant { resource, holder, fence: self.last_fence, renewals: 0, span_millis };
        match position {
            Ok(position) => self.grants[position] = grant.clone(),
            Err(position) => self.grants.insert(position, grant.clone()),
        }
        LeaseOutcome::Granted(grant)
    }

    fn renew(&mut self, resource: &str, fence: u64) -> LeaseOutcome {
        match self.position(resource) {
            Ok(position) if self.grants[position].fence == fence => {
                self.grants[position].renewals += 1;
                LeaseOutcome::Granted(self.grants[position].clone())
            }
            _ => LeaseOutcome::Ended,
        }
    }

    fn release(&mut self, resource: &str, fence: u64) -> LeaseOutcome {
        match self.position(resource) {
            Ok(position) if self.grants[position].fence == fence => {
                self.grants.remove(position);
                LeaseOutcome::Released
            }
            _ => LeaseOutcome::Ended,
        }
    }
}

impl Machine for Leases {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.execute(command),
            Err(_) => LeaseOutcome::Malformed,
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        match postcard::from_bytes(snapshot) {
            Ok(leases) => {
                *self = leases;
                true
            }
            Err(_) => false,
        }
    }
}

/// One contender for a lease: says what to propose next and whether the lease is held now.
#[derive(Debug, Clone)]
pub struct Holder {
    resource: String,
    me: Instance,
    span: Duration,
    held: Option<(Grant, Instant)>,
    watched: Option<(Grant, Instant)>,
    proposed_at: Option<Instant>,
}

/// Share of a lease's span after which its holder renews it.
const RENEWAL_DIVISOR: u32 = 3;

impl Holder {
    /// A contender of the instance `me` for `resource`, whose grants last `span` each.
    pub fn new(resource: String, me: Instance, span: Duration) -> Self {
        Self { resource, me, span, held: None, watched: None, proposed_at: None }
    }

    /// The fencing number and the time until which it may be used, if the lease is held. Check
    /// the time again after the work that depends on it.
    pub fn fence(&self, now: Instant) -> Option<(u64, Instant)> {
        let (grant, until) = self.held.as_ref()?;
        (now < *until).then_some((grant.fence, *until))
    }

    /// What to propose at `now`, if anything.
    pub fn next(&mut self, now: Instant) -> Option<LeaseCommand> {
        if self.proposed_at.is_some() {
            return None;
        }
        let command = self.command(now)?;
        self.proposed_at = Some(now);
        Some(command)
    }

    fn command(&self, now: Instant) -> Option<LeaseCommand> {
        if let Some((grant, until)) = self.held.as_ref().filter(|(_, until)| now < *until) {
            let renew_at = *until - self.span * (RENEWAL_DIVISOR - 1) / RENEWAL_DIVISOR;
            let resource = self.resource.clone();
            let renewal = LeaseCommand::Renew { resource, fence: grant.fence };
            return (now >= renew_at).then_some(renewal);
        }
        let lapsed = match &self.watched {
            Some((grant, since)) => {
                let lapse = *since + Duration::from_millis(grant.span_millis);
                (now >= lapse).then_some(Some((grant.fence, grant.renewals)))?
            }
            None => None,
        };
        Some(LeaseCommand::Take {
            resource: self.resource.clone(),
            holder: self.me.clone(),
            span_millis: u64::try_from(self.span.as_millis()).unwrap_or(u64::MAX),
            lapsed,
        })
    }

    /// Takes the outcome of the proposal; none when it did not run or that is unknown.
    pub fn learn(&mut self, now: Instant, outcome: Option<LeaseOutcome>) {
        let Some(proposed_at) = self.proposed_at.take() else {
            return;
        };
        match outcome {
            Some(LeaseOutcome::Granted(grant)) => {
                self.watched = None;
                self.held = Some((grant, proposed_at + self.span));
            }
            Some(LeaseOutcome::Held(grant)) => {
                self.held = None;
                self.watch(now, grant);
            }
            Some(LeaseOutcome::Released | LeaseOutcome::Ended) => {
                self.held = None;
                self.watched = None;
            }
            Some(LeaseOutcome::Malformed) | None => {}
        }
    }

    /// Sees the present grant, as the machine shows it after each change.
    pub fn watch(&mut self, now: Instant, grant: Grant) {
        let is_known = self.watched.as_ref().is_some_and(|(watched, _)| *watched == grant);
        if !is_known {
            self.watched = Some((grant, now));
        }
    }
}
