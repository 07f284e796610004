//! The replicated state machine of claims.

use std::time::Duration;

use names::{Attempt, ClientAccount};

use crate::accounts::Accounts;
use crate::archive::{Archive, Remnant};
use crate::records::{RECORD_BYTES, Record, Records, Stand};
use crate::withdrawn::Withdrawn;
use crate::{
    Answer, Bounds, Claim, Command, Digest, Ending, Outcome, Reply, Settlement, Ticket, Time,
};

/// How long a claim that finds no room for its record waits for others to end.
const ROOM_PAUSE: Duration = Duration::from_secs(1);

/// Claims of idempotency keys, and how they ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) bounds: Bounds,
    pub(crate) time: Time,
    /// Keys whose records are kept whole.
    pub(crate) records: Records,
    /// Older keys, of which only the outcome is kept.
    pub(crate) archive: Archive,
    pub(crate) accounts: Accounts,
    pub(crate) withdrawn: Withdrawn,
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

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.accounts.total().keys
    }

    /// Number of keys whose records are kept whole.
    pub fn whole(&self) -> usize {
        self.accounts.total().records
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that all whole records are counted as.
    pub fn size(&self) -> usize {
        self.accounts.total().bytes
    }

    /// What a resend of `ticket` would get, as far as this replica knows; none when the key is
    /// not claimed here. Answers are final, the rest may be out of date.
    pub fn look_up(&self, ticket: &Ticket) -> Option<Reply> {
        let Some(record) = self.records.get(ticket.key) else {
            return self.archived(ticket);
        };
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
        while let Some(slots) = self.archive.pop_expired(self.time) {
            slots.into_iter().for_each(|slot| self.accounts.forget(slot));
        }
    }

    /// What is left of a claim of the same key.
    fn archived(&self, ticket: &Ticket) -> Option<Reply> {
        let reply = match self.archive.find(ticket.key, ticket.body)? {
            Remnant::Conflict => Reply::Conflict,
            Remnant::Unknown => Reply::Unknown,
            Remnant::Answered(status) => Reply::Answered(Answer::of_status(status)),
        };
        Some(reply)
    }

    fn claim(&mut self, claim: Claim) -> Reply {
        let time = self.time;
        if let Some(record) = self.records.get_mut(claim.ticket.key) {
            return resend(record, &claim, time);
        }
        if let Some(reply) = self.archived(&claim.ticket) {
            return reply;
        }
        if self.withdrawn.contains(claim.fence) {
            return Reply::Withdrawn;
        }
        match claim.now.after(claim.hold) <= time {
            true => Reply::Late,
            false => self.grant(claim),
        }
    }

    fn grant(&mut self, claim: Claim) -> Reply {
        if self.is_full_for(&claim.ticket.account) {
            let expiries = self.records.next_expiry().into_iter().chain(self.archive.next_expiry());
            let next = expiries.min().unwrap_or(self.time);
            return Reply::Full { left: next.left_at(self.time) };
        }
        if !self.make_room(&claim.ticket.account, claim.fence, 1, RECORD_BYTES) {
            return Reply::Full { left: ROOM_PAUSE };
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

    fn is_full_for(&self, account: &ClientAccount) -> bool {
        let Bounds { keys, account_share, .. } = self.bounds;
        self.accounts.total().keys >= keys
            || !self.accounts.has_slot_for(account)
            || self.accounts.usage(account).keys >= keys / account_share
    }

    fn settle(&mut self, settlement: Settlement) -> Reply {
        let Settlement { key, fence, ending, .. } = settlement;
        if ending == Ending::NotRun {
            self.withdrawn.insert(fence);
        }
        let Some(record) = self.records.get_mut(key).filter(|record| record.fence == fence) else {
            return Reply::NotClaimed;
        };
        match (ending, &record.stand) {
            (_, Stand::Answered(_)) | (Ending::Unknown, Stand::Unknown) => {}
            (Ending::Unknown, Stand::Running { .. }) => record.stand = Stand::Unknown,
            (Ending::NotRun, _) => self.release(key),
            (Ending::Answered(answer), _) => {
                let account = record.account.clone();
                self.keep(key, fence, &account, answer);
            }
        }
        Reply::Settled
    }

    /// Keeps an answer, or its status alone if there is no room for the rest.
    fn keep(&mut self, key: Digest, fence: Attempt, account: &ClientAccount, answer: Answer) {
        let answer = answer.within(self.bounds.answer_bytes);
        let has_room = self.make_room(account, fence, 0, answer.size());
        let answer = if has_room { answer } else { Answer::of_status(answer.status) };
        self.accounts.grow(account, answer.size());
        if let Some(record) = self.records.get_mut(key) {
            record.stand = Stand::Answered(answer);
        }
    }

    fn release(&mut self, key: Digest) {
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
