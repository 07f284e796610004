//! The replicated state machine of claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use state::{Index, Machine};

use crate::accounts::{Accounts, Usage};
use crate::records::{Record, Records, Stand};
use crate::withdrawn::Withdrawn;
use crate::{Claim, Command, Ending, Outcome, Reply, Settlement, Ticket, Time};

/// Bounds of the ledger, the same at every voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Most records.
    pub records: usize,
    /// Most bytes of records and answers.
    pub bytes: usize,
    /// Most bytes of one answer that is kept.
    pub answer_bytes: usize,
    /// The part of the ledger that one account may hold: one of so many.
    pub account_share: usize,
    /// How long after its claim a key is remembered.
    pub lifetime: Duration,
    /// Longest time that an attempt may be running.
    pub hold: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            records: 64 << 10,
            bytes: 24 << 20,
            answer_bytes: 64 << 10,
            account_share: 4,
            lifetime: Duration::from_secs(60 * 60),
            hold: Duration::from_secs(5 * 60),
        }
    }
}

/// Claims of idempotency keys, and how they ended.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    bounds: Bounds,
    time: Time,
    records: Records,
    accounts: Accounts,
    withdrawn: Withdrawn,
}

impl Ledger {
    /// An empty ledger with other bounds than the usual ones.
    pub fn with_bounds(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// The ledger's time.
    pub fn time(&self) -> Time {
        self.time
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.accounts.total().records
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that all records are counted as.
    pub fn size(&self) -> usize {
        self.accounts.total().bytes
    }

    /// What a resend of `ticket` would get, as far as this replica knows; none when the key is
    /// not claimed here. Answers are final, the rest may be out of date.
    pub fn look_up(&self, ticket: &Ticket) -> Option<Reply> {
        let record = self.records.get(ticket.key)?;
        if record.body != ticket.body {
            return Some(Reply::Conflict);
        }
        match &record.stand {
            Stand::Answered(answer) => Some(Reply::Answered(answer.clone())),
            Stand::Running { .. } | Stand::Unknown => Some(Reply::Unknown),
        }
    }

    /// Takes a command.
    pub fn take(&mut self, command: Command) -> Outcome {
        let now = match &command {
            Command::Claim(claim) => claim.now,
            Command::Settle(settlement) => settlement.now,
        };
        self.advance(now);
        let reply = match command {
            Command::Claim(claim) => self.claim(claim),
            Command::Settle(settlement) => self.settle(settlement),
        };
        Outcome { time: self.time, reply }
    }

    fn advance(&mut self, now: Time) {
        self.time = self.time.max(now);
        while let Some(record) = self.records.pop_expired(self.time) {
            self.accounts.remove(&record.account, record.size());
        }
    }

    fn claim(&mut self, claim: Claim) -> Reply {
        let time = self.time;
        match self.records.get_mut(claim.ticket.key) {
            Some(record) => resend(record, &claim, time),
            None if self.withdrawn.contains(claim.fence) => Reply::Withdrawn,
            None if claim.now.after(claim.hold) <= time => Reply::Late,
            None => self.grant(claim),
        }
    }

    fn grant(&mut self, claim: Claim) -> Reply {
        if self.is_full_for(&claim) {
            let next = self.records.next_expiry().unwrap_or(self.time);
            return Reply::Full { left: next.left_at(self.time) };
        }
        let record = Record {
            account: claim.ticket.account,
            body: claim.ticket.body,
            fence: claim.fence,
            expires: self.time.after(self.bounds.lifetime),
            stand: Stand::Running { deadline: self.time.after(claim.hold.min(self.bounds.hold)) },
        };
        self.accounts.add(&record.account, record.size());
        self.records.insert(claim.ticket.key, record);
        Reply::Granted
    }

    fn is_full_for(&self, claim: &Claim) -> bool {
        let Bounds { records, bytes, account_share, .. } = self.bounds;
        let whole = Usage { records, bytes };
        let share = Usage { records: records / account_share, bytes: bytes / account_share };
        self.accounts.total().is_full(whole)
            || self.accounts.usage(&claim.ticket.account).is_full(share)
    }

    fn settle(&mut self, settlement: Settlement) -> Reply {
        let Settlement { key, fence, ending, .. } = settlement;
        if ending == Ending::NotRun {
            self.withdrawn.insert(fence);
        }
        let room = self.bounds.bytes.saturating_sub(self.accounts.total().bytes);
        let limit = self.bounds.answer_bytes.min(room);
        let Some(record) = self.records.get_mut(key).filter(|record| record.fence == fence) else {
            return Reply::NotClaimed;
        };
        match (ending, &record.stand) {
            (_, Stand::Answered(_)) | (Ending::Unknown, Stand::Unknown) => {}
            (Ending::Unknown, Stand::Running { .. }) => record.stand = Stand::Unknown,
            (Ending::NotRun, _) => self.release(key),
            (Ending::Answered(answer), _) => {
                let answer = answer.within(limit);
                let size = answer.size();
                record.stand = Stand::Answered(answer);
                let account = record.account.clone();
                self.accounts.grow(&account, size);
            }
        }
        Reply::Settled
    }

    fn release(&mut self, key: crate::Digest) {
        if let Some(record) = self.records.remove(key) {
            self.accounts.remove(&record.account, record.size());
        }
    }
}

/// What a claim of a key that has a record already gets.
fn resend(record: &mut Record, claim: &Claim, time: Time) -> Reply {
    if record.body != claim.ticket.body {
        return Reply::Conflict;
    }
    match &record.stand {
        Stand::Answered(answer) => Reply::Answered(answer.clone()),
        Stand::Unknown => Reply::Unknown,
        Stand::Running { deadline } if *deadline <= time => {
            record.stand = Stand::Unknown;
            Reply::Unknown
        }
        Stand::Running { .. } if record.fence == claim.fence => Reply::Granted,
        Stand::Running { deadline } => Reply::Running { left: deadline.left_at(time) },
    }
}

impl Machine for Ledger {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(command) => self.take(command),
            Err(_) => Outcome { time: self.time, reply: Reply::Invalid },
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        match postcard::from_bytes(snapshot) {
            Ok(ledger) => {
                *self = ledger;
                true
            }
            Err(_) => false,
        }
    }
}
