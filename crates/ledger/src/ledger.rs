//! The replicated state machine of claims.

use std::time::Duration;

use names::{Attempt, ClientAccount};

use crate::accounts::Accounts;
use crate::archive::{Archive, ArchivedOutcome};
use crate::records::{ClaimState, RECORD_BYTES, Record, Records};
use crate::withdrawn::WithdrawnAttempts;
use crate::{
    AttemptOutcome, Bounds, Claim, Command, CommandOutcome, Digest, Reply, RequestIdentity,
    Settlement, StoredResponse, Time,
};

/// Retry delay for a claim whose record does not fit until other attempts end.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Claims of idempotency keys and their outcomes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) bounds: Bounds,
    pub(crate) time: Time,
    /// Full records of the newest keys.
    pub(crate) records: Records,
    /// Outcomes of older keys, without their responses.
    pub(crate) archive: Archive,
    pub(crate) accounts: Accounts,
    pub(crate) withdrawn: WithdrawnAttempts,
}

impl Ledger {
    /// Creates an empty ledger with the given limits.
    pub fn with_bounds(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Returns the ledger time.
    pub fn time(&self) -> Time {
        self.time
    }

    /// Returns the number of keys, including archived ones.
    pub fn len(&self) -> usize {
        self.accounts.total().keys
    }

    /// Returns the number of full records.
    pub fn full_record_count(&self) -> usize {
        self.accounts.total().records
    }

    /// Returns whether the ledger has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the accounted size of all full records in bytes.
    pub fn record_bytes(&self) -> usize {
        self.accounts.total().bytes
    }

    /// Returns the reply that a resend of the request with `identity` would get from the state of
    /// this replica, or `None` if the replica has no claim of the key. [`Reply::Answered`] is
    /// final; other replies may be out of date.
    pub fn look_up(&self, identity: &RequestIdentity) -> Option<Reply> {
        let Some(record) = self.records.get(identity.key) else {
            return self.look_up_archived(identity);
        };
        if record.request != identity.request {
            return Some(Reply::Conflict);
        }
        match &record.state {
            ClaimState::Answered(answer) => Some(Reply::Answered(answer.clone())),
            ClaimState::Running { .. } | ClaimState::Unknown => Some(Reply::Unknown),
        }
    }

    /// Advances the ledger time to that of the command and applies the command.
    pub fn apply_command(&mut self, command: Command) -> CommandOutcome {
        let now = match &command {
            Command::Claim(claim) => claim.now,
            Command::Settle(settlement) => settlement.now,
        };
        self.advance_time(now);
        let reply = match command {
            Command::Claim(claim) => self.claim(claim),
            Command::Settle(settlement) => self.settle(settlement),
        };
        CommandOutcome { time: self.time, reply }
    }

    fn advance_time(&mut self, now: Time) {
        self.time = self.time.max(now);
        while let Some(record) = self.records.pop_expired(self.time) {
            self.accounts.remove_record(&record.account, record.size());
        }
        while let Some(slots) = self.archive.pop_expired(self.time) {
            slots.into_iter().for_each(|slot| self.accounts.remove_key(slot));
        }
    }

    /// Returns the reply for an archived claim of the same key.
    fn look_up_archived(&self, identity: &RequestIdentity) -> Option<Reply> {
        let reply = match self.archive.find(identity.key, identity.request)? {
            ArchivedOutcome::Conflict => Reply::Conflict,
            ArchivedOutcome::Unknown => Reply::Unknown,
            ArchivedOutcome::Answered(status) => {
                Reply::Answered(StoredResponse::without_body(status))
            }
        };
        Some(reply)
    }

    fn claim(&mut self, claim: Claim) -> Reply {
        let time = self.time;
        if let Some(record) = self.records.get_mut(claim.identity.key) {
            return reply_to_resend(record, &claim, time);
        }
        if let Some(reply) = self.look_up_archived(&claim.identity) {
            return reply;
        }
        if self.withdrawn.contains(claim.fence) {
            return Reply::Withdrawn;
        }
        match claim.now.after(claim.timeout) <= time {
            true => Reply::Late,
            false => self.grant(claim),
        }
    }

    fn grant(&mut self, claim: Claim) -> Reply {
        if self.is_full_for(&claim.identity.account) {
            let expiries = self.records.next_expiry().into_iter().chain(self.archive.next_expiry());
            let next_expiry = expiries.min().unwrap_or(self.time);
            return Reply::Full { retry_after: next_expiry.remaining_at(self.time) };
        }
        if !self.ensure_capacity(&claim.identity.account, claim.fence, 1, RECORD_BYTES) {
            return Reply::Full { retry_after: CAPACITY_RETRY_DELAY };
        }
        let record = Record {
            account: claim.identity.account,
            request: claim.identity.request,
            fence: claim.fence,
            expires: self.time.after(self.bounds.lifetime),
            state: ClaimState::Running {
                deadline: self.time.after(claim.timeout.min(self.bounds.max_timeout)),
            },
        };
        self.accounts.add_record(&record.account, record.size());
        self.records.insert(claim.identity.key, record);
        Reply::Granted
    }

    fn is_full_for(&self, account: &ClientAccount) -> bool {
        let Bounds { keys, account_share, .. } = self.bounds;
        self.accounts.total().keys >= keys
            || !self.accounts.has_slot_for(account)
            || self.accounts.usage(account).keys >= keys / account_share
    }

    fn settle(&mut self, settlement: Settlement) -> Reply {
        let Settlement { key, fence, attempt_outcome, .. } = settlement;
        if attempt_outcome == AttemptOutcome::NotRun {
            self.withdrawn.insert(fence);
        }
        let Some(record) = self.records.get_mut(key).filter(|record| record.fence == fence) else {
            return Reply::NotClaimed;
        };
        match (attempt_outcome, &record.state) {
            (_, ClaimState::Answered(_)) | (AttemptOutcome::Unknown, ClaimState::Unknown) => {}
            (AttemptOutcome::Unknown, ClaimState::Running { .. }) => {
                record.state = ClaimState::Unknown
            }
            (AttemptOutcome::NotRun, _) => self.release_key(key),
            (AttemptOutcome::Answered(answer), _) => {
                let account = record.account.clone();
                self.store_answer(key, fence, &account, answer);
            }
        }
        Reply::Settled
    }

    /// Stores a response, or only its status if the response does not fit.
    fn store_answer(
        &mut self,
        key: Digest,
        fence: Attempt,
        account: &ClientAccount,
        answer: StoredResponse,
    ) {
        let answer = answer.without_body_if_over(self.bounds.answer_bytes);
        let has_capacity = self.ensure_capacity(account, fence, 0, answer.size());
        let answer =
            if has_capacity { answer } else { StoredResponse::without_body(answer.status) };
        self.accounts.add_bytes(account, answer.size());
        if let Some(record) = self.records.get_mut(key) {
            record.state = ClaimState::Answered(answer);
        }
    }

    fn release_key(&mut self, key: Digest) {
        if let Some(record) = self.records.remove(key) {
            self.accounts.remove_record(&record.account, record.size());
        }
    }
}

/// Returns the reply to a claim of a key that already has a full record. A running attempt whose
/// deadline has passed becomes unknown.
fn reply_to_resend(record: &mut Record, claim: &Claim, time: Time) -> Reply {
    if record.request != claim.identity.request {
        return Reply::Conflict;
    }
    match &record.state {
        ClaimState::Answered(answer) => Reply::Answered(answer.clone()),
        ClaimState::Unknown => Reply::Unknown,
        ClaimState::Running { deadline } if *deadline <= time => {
            record.state = ClaimState::Unknown;
            Reply::Unknown
        }
        ClaimState::Running { .. } if record.fence == claim.fence => Reply::Granted,
        ClaimState::Running { deadline } => {
            Reply::Running { remaining: deadline.remaining_at(time) }
        }
    }
}
