//! Leases: at most one holder at a time under lost outcomes and process pauses, and increasing
//! fencing tokens.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use state::{
    Index, LeaseClient, LeaseCommand, LeaseOutcome, Leases, Machine, ProposalId, Sessions,
};

const LEASE_DURATION: Duration = Duration::from_secs(3);

struct Contender {
    holder: LeaseClient,
    paused_until: Instant,
    /// Commit time of the pending proposal, its command, and whether its outcome is received.
    proposal: Option<(Instant, LeaseCommand, bool)>,
}

fn apply(leases: &mut Leases, command: &LeaseCommand) -> LeaseOutcome {
    let bytes = postcard::to_allocvec(command).unwrap();
    postcard::from_bytes(&leases.apply(Index(1), &bytes)).unwrap()
}

#[test]
fn at_most_one_contender_holds_the_lease() {
    let mut grants = 0;
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = Leases::default();
        let mut now = Instant::now();
        let contender = |number: u32| Contender {
            holder: LeaseClient::new(
                "orders".into(),
                format!("i-{number}").parse().unwrap(),
                LEASE_DURATION,
            ),
            paused_until: now,
            proposal: None,
        };
        let mut contenders: Vec<Contender> = (0..3).map(contender).collect();
        let mut fences = Vec::new();
        for _ in 0..800 {
            now += Duration::from_millis(random.random_range(10..100));
            if random.random_range(0..60) == 0 {
                let pause = Duration::from_millis(random.random_range(1000..9000));
                contenders[random.random_range(0..3)].paused_until = now + pause;
            }
            for contender in &mut contenders {
                step(contender, &mut leases, now, &mut random);
            }
            let held: Vec<u64> = contenders
                .iter()
                .filter_map(|contender| contender.holder.fencing_token(now).map(|(fence, _)| fence))
                .collect();
            assert!(held.len() <= 1, "seed {seed}: {held:?} are held at once");
            fences.extend(held);
        }
        fences.dedup();
        grants += fences.len();
        assert!(fences.is_sorted_by(|left, right| left < right), "seed {seed}: {fences:?}");
    }
    assert!(grants > 600, "the lease changed hands {grants} times only");
}

fn step(contender: &mut Contender, leases: &mut Leases, now: Instant, random: &mut Pcg64Mcg) {
    if let Some((_, command, is_known)) = contender.proposal.take_if(|(due, ..)| *due <= now) {
        let outcome = apply(leases, &command);
        contender.holder.on_outcome(now, is_known.then_some(outcome));
    }
    if now < contender.paused_until {
        return;
    }
    if let Some(grant) = leases.find("orders") {
        contender.holder.observe_grant(now, grant.clone());
    }
    if contender.proposal.is_none()
        && let Some(command) = contender.holder.next_command(now)
    {
        let delay = Duration::from_millis(random.random_range(5..2500));
        contender.proposal = Some((now + delay, command, random.random_range(0..4) > 0));
    }
}

#[test]
fn take_replaces_only_the_lapsed_grant_that_it_names() {
    let mut leases = Leases::default();
    let take = |holder: &str, lapsed| LeaseCommand::Take {
        resource: "orders".into(),
        holder: holder.parse().unwrap(),
        span_millis: 1000,
        lapsed,
    };
    let LeaseOutcome::Granted(first) = apply(&mut leases, &take("one", None)) else {
        unreachable!("the lease was free");
    };
    assert!(matches!(apply(&mut leases, &take("two", None)), LeaseOutcome::Held(_)));
    let renew = LeaseCommand::Renew { resource: "orders".into(), fence: first.fence };
    assert!(matches!(apply(&mut leases, &renew), LeaseOutcome::Granted(_)));
    let stale = take("two", Some((first.fence, 0)));
    assert!(matches!(apply(&mut leases, &stale), LeaseOutcome::Held(_)));
    let taken = apply(&mut leases, &take("two", Some((first.fence, 1))));
    assert!(matches!(taken, LeaseOutcome::Granted(grant) if grant.fence > first.fence));
    assert_eq!(apply(&mut leases, &renew), LeaseOutcome::Ended);
    let mut restored = Leases::default();
    assert!(restored.restore(&leases.snapshot()));
    assert_eq!(restored, leases);
    assert!(!restored.restore(&[255; 3]));
}

#[test]
fn duplicate_proposal_is_rejected() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut sessions = Sessions::default();
    let mut accepted = std::collections::BTreeSet::new();
    for step in 0..20_000_u64 {
        let sequence = (step / 3 + 1).saturating_sub(random.random_range(0..20)).max(1);
        let instance = "one".parse().unwrap();
        let origin = ProposalId { instance, incarnation: names::Incarnation(5), sequence };
        assert_eq!(sessions.accept(&origin), accepted.insert(sequence), "{sequence}");
    }
    // The wall clock was set back before this incarnation started; its duplicates must be rejected
    // as well.
    let origin = |incarnation, sequence| ProposalId {
        instance: "one".parse().unwrap(),
        incarnation: names::Incarnation(incarnation),
        sequence,
    };
    assert!(sessions.accept(&origin(4, 1)));
    assert!(!sessions.accept(&origin(4, 1)));
    assert!(!sessions.accept(&origin(5, 6000)));
    // Several sessions are kept per instance, and sessions of other instances must not evict them.
    (6..8).for_each(|incarnation| assert!(sessions.accept(&origin(incarnation, 1))));
    for number in 0..1000 {
        let instance = format!("other-{number}").parse().unwrap();
        let incarnation = names::Incarnation(1);
        assert!(sessions.accept(&ProposalId { instance, incarnation, sequence: 1 }));
    }
    (4..8).for_each(|incarnation| assert!(!sessions.accept(&origin(incarnation, 1))));
}
