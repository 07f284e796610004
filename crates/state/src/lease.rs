//! Leases with fencing tokens, implemented as a replicated state machine.
//!
//! The state machine orders the grants and gives each grant a fencing token greater than all
//! earlier ones. It reads no clock. A holder measures its lease from the time before it proposed
//! the grant or renewal. A contender proposes to take over a lease only after it has seen the same
//! grant without a renewal for the full lease duration, and it names that grant in the proposal.
//! The old lease has therefore expired at its holder before the new one is granted, regardless of
//! the wall clocks of both instances.

use std::time::{Duration, Instant};

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::{Index, Machine};

/// Command for [`Leases`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// Acquires the lease if it is free, or if its current grant and number of renewals match
    /// `lapsed`.
    Take {
        /// Name of the leased resource.
        resource: String,
        /// Instance that acquires the lease.
        holder: Instance,
        /// Duration of the lease after the grant and after each renewal, in milliseconds.
        span_millis: u64,
        /// Fencing token and number of renewals of the expired grant to replace.
        lapsed: Option<(u64, u64)>,
    },
    /// Renews the grant with the fencing token `fence`.
    Renew {
        /// Name of the leased resource.
        resource: String,
        /// Fencing token of the grant.
        fence: u64,
    },
    /// Releases the grant with the fencing token `fence`.
    Release {
        /// Name of the leased resource.
        resource: String,
        /// Fencing token of the grant.
        fence: u64,
    },
}

/// A lease that is currently held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the leased resource.
    pub resource: String,
    /// Instance that holds the lease.
    pub holder: Instance,
    /// Fencing token, greater than those of all earlier grants.
    pub fence: u64,
    /// Number of renewals since the grant.
    pub renewals: u64,
    /// Duration of the lease after the grant and after each renewal, in milliseconds.
    pub span_millis: u64,
}

/// Outcome of a [`LeaseCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The lease was granted or renewed.
    Granted(Grant),
    /// Another grant of the lease is in force.
    Held(Grant),
    /// The grant was released.
    Released,
    /// The grant named by the command is no longer in force.
    Ended,
    /// The command could not be decoded.
    Malformed,
}

/// All grants, sorted by resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    grants: Vec<Grant>,
    last_fence: u64,
}

impl Leases {
    /// Returns the current grant of `resource`.
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

/// A contender for one lease. Decides which command to propose next and whether the lease is
/// currently held.
#[derive(Debug, Clone)]
pub struct LeaseClient {
    resource: String,
    me: Instance,
    duration: Duration,
    /// Grant held by this contender, and its expiry.
    held: Option<(Grant, Instant)>,
    /// Last observed grant, and the time at which it was first observed.
    watched: Option<(Grant, Instant)>,
    /// Time of the pending proposal.
    proposed_at: Option<Instant>,
}

/// The holder renews its lease after this fraction (1/3) of the lease duration.
const RENEWAL_DIVISOR: u32 = 3;

impl LeaseClient {
    /// Creates a contender for `resource` on behalf of the instance `me`, with grants of the given
    /// `duration`.
    pub fn new(resource: String, me: Instance, duration: Duration) -> Self {
        Self { resource, me, duration, held: None, watched: None, proposed_at: None }
    }

    /// Returns the fencing token and its expiry if the lease is held. Callers must check the expiry
    /// again after the work that depends on the lease.
    pub fn fencing_token(&self, now: Instant) -> Option<(u64, Instant)> {
        let (grant, until) = self.held.as_ref()?;
        (now < *until).then_some((grant.fence, *until))
    }

    /// Returns the command to propose at `now`, or `None` while a proposal is pending or no command
    /// is due.
    pub fn next_command(&mut self, now: Instant) -> Option<LeaseCommand> {
        if self.proposed_at.is_some() {
            return None;
        }
        let command = self.command(now)?;
        self.proposed_at = Some(now);
        Some(command)
    }

    fn command(&self, now: Instant) -> Option<LeaseCommand> {
        if let Some((grant, until)) = self.held.as_ref().filter(|(_, until)| now < *until) {
            let renew_at = *until - self.duration * (RENEWAL_DIVISOR - 1) / RENEWAL_DIVISOR;
            let resource = self.resource.clone();
            let renewal = LeaseCommand::Renew { resource, fence: grant.fence };
            return (now >= renew_at).then_some(renewal);
        }
        let lapsed = match &self.watched {
            Some((grant, since)) => {
                let expires_at = *since + Duration::from_millis(grant.span_millis);
                (now >= expires_at).then_some(Some((grant.fence, grant.renewals)))?
            }
            None => None,
        };
        Some(LeaseCommand::Take {
            resource: self.resource.clone(),
            holder: self.me.clone(),
            span_millis: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
            lapsed,
        })
    }

    /// Processes the outcome of the pending proposal. `None` means that the proposal did not run or
    /// that its outcome is unknown.
    pub fn on_outcome(&mut self, now: Instant, outcome: Option<LeaseOutcome>) {
        let Some(proposed_at) = self.proposed_at.take() else {
            return;
        };
        match outcome {
            Some(LeaseOutcome::Granted(grant)) => {
                self.watched = None;
                self.held = Some((grant, proposed_at + self.duration));
            }
            Some(LeaseOutcome::Held(grant)) => {
                self.held = None;
                self.observe_grant(now, grant);
            }
            Some(LeaseOutcome::Released | LeaseOutcome::Ended) => {
                self.held = None;
                self.watched = None;
            }
            Some(LeaseOutcome::Malformed) | None => {}
        }
    }

    /// Records the current grant as seen in the state machine. A changed grant restarts the wait
    /// for its expiry.
    pub fn observe_grant(&mut self, now: Instant, grant: Grant) {
        let is_known = self.watched.as_ref().is_some_and(|(watched, _)| *watched == grant);
        if !is_known {
            self.watched = Some((grant, now));
        }
    }
}
