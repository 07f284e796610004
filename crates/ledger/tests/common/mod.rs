//! Helpers that apply commands to a ledger under test.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ledger::{
    AttemptOutcome, Claim, Command, Key, Ledger, Reply, RequestIdentity, Settlement, Time,
};
use names::Attempt;

pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

pub fn request_identity(account: &str, key: &str, request: &str) -> RequestIdentity {
    let key = Key::try_from(key.to_string()).unwrap();
    let service = "shop".parse().unwrap();
    RequestIdentity::new(&account.parse().unwrap(), &service, &key, &[request.as_bytes()])
}

pub fn claim(ledger: &mut Ledger, identity: &RequestIdentity, fence: u64, now: u64) -> Reply {
    let (identity, fence, now) = (identity.clone(), Attempt(fence), Time(now));
    ledger
        .apply_command(Command::Claim(Claim { identity, fence, now, timeout: ATTEMPT_TIMEOUT }))
        .reply
}

pub fn settle(
    ledger: &mut Ledger,
    identity: &RequestIdentity,
    fence: u64,
    now: u64,
    attempt_outcome: AttemptOutcome,
) -> Reply {
    let (fence, now) = (Attempt(fence), Time(now));
    ledger
        .apply_command(Command::Settle(Settlement {
            key: identity.key,
            fence,
            now,
            attempt_outcome,
        }))
        .reply
}
