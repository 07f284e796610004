//! The state machine of revisions: conflicts, retries, rollbacks, the audit trail and bounds.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::BTreeMap;

use declare::{
    Apply, Command, Declarations, Document, MAX_ANSWERED_ORDERS, MAX_HISTORY_REVISIONS, Moment,
    Order, Origin, Outcome, Revision, Revisions, Rollback,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use state::{Index, Machine};

const SEEDS: u64 = 300;

fn document(rank: &str, weight: u32) -> Document {
    let text = format!(
        "kinds: [{{name: report, rank: {rank}, deadline: 60s}}]\n\
         client_accounts: [{{name: nasr, keys: [], weight: {weight}}}]\n"
    );
    (&Declarations::try_from(text).unwrap()).try_into().unwrap()
}

fn origin(order: &str, operator: &str) -> Origin {
    let (order, operator) = (order.parse().unwrap(), operator.parse().unwrap());
    Origin { order, operator, at: Moment(1_796_351_025_000) }
}

fn apply(revisions: &Revisions, base: u64, order: &str, by: &str, content: &Document) -> Command {
    let changes = revisions.content(Revision(base)).map(|from| from.changes_to(content));
    let mark = content.mark();
    Command::Apply(Apply { origin: origin(order, by), base: Revision(base), mark, changes })
}

fn execute(machine: &mut Revisions, command: &Command) -> Outcome {
    let bytes = machine.apply(Index(1), &postcard::to_allocvec(command).unwrap());
    postcard::from_bytes(&bytes).unwrap()
}

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted { revision: Revision(revision) }
}

#[test]
fn of_two_orders_with_the_same_base_one_wins_and_the_other_reports_the_winner() {
    let mut machine = Revisions::default();
    let first = apply(&machine, 0, "a", "amal", &document("normal", 1));
    let second = apply(&machine, 0, "b", "bert", &document("urgent", 1));
    assert_eq!(execute(&mut machine, &first), accepted(1));
    let Outcome::Conflict { current, winner } = execute(&mut machine, &second) else {
        panic!("no conflict");
    };
    let winner = winner.unwrap();
    assert_eq!((current, winner.revision), (Revision(1), Revision(1)));
    assert_eq!(winner.origin, origin("a", "amal"));
}

#[test]
fn a_retried_order_gets_its_first_outcome_and_other_content_is_rejected() {
    let mut machine = Revisions::default();
    let order = apply(&machine, 0, "a", "amal", &document("normal", 1));
    assert_eq!(execute(&mut machine, &order), accepted(1));
    let later = apply(&machine, 1, "b", "amal", &document("normal", 2));
    assert_eq!(execute(&mut machine, &later), accepted(2));
    let mut restored = Revisions::default();
    assert!(restored.restore(&machine.snapshot()));
    assert_eq!(execute(&mut restored, &order), accepted(1));
    let retry_without_base = Command::Apply(Apply {
        origin: origin("a", "amal"),
        base: Revision(0),
        mark: document("normal", 1).mark(),
        changes: None,
    });
    assert_eq!(execute(&mut restored, &retry_without_base), accepted(1));
    let other = apply(&restored, 2, "a", "amal", &document("urgent", 9));
    assert_eq!(execute(&mut restored, &other), Outcome::Reused);
    assert_eq!(restored.revision(), Revision(2));
}

#[test]
fn a_rollback_is_a_new_revision_and_the_audit_trail_describes_every_change() {
    let mut machine = Revisions::default();
    for (base, rank) in ["normal", "urgent"].iter().enumerate() {
        let order = format!("order-{base}");
        let command = apply(&machine, base as u64, &order, "amal", &document(rank, 1));
        execute(&mut machine, &command);
    }
    let to = Revision(1);
    let rollback = Rollback { origin: origin("back", "bert"), base: Revision(2), to };
    let rollback = Command::Rollback(rollback);
    assert_eq!(execute(&mut machine, &rollback), accepted(3));
    assert_eq!(execute(&mut machine, &rollback), accepted(3));
    assert_eq!(machine.document(), &document("normal", 1));
    let descriptions: Vec<_> =
        machine.history().records().map(|record| record.changes.clone()).collect();
    assert_eq!(descriptions[1], ["kind of work \"report\": rank normal -> urgent"]);
    assert_eq!(descriptions[2], ["kind of work \"report\": rank urgent -> normal"]);
    let last = machine.history().records().next_back().unwrap();
    assert_eq!((last.base, last.origin.operator.as_str()), (Revision(2), "bert"));
    assert_eq!(last.origin.at.to_string(), "2026-12-04T02:23:45Z");
    let missing = Rollback { origin: origin("far", "bert"), base: Revision(3), to: Revision(7) };
    let outcome = execute(&mut machine, &Command::Rollback(missing));
    assert_eq!(outcome, Outcome::Missing { oldest: Revision(0), current: Revision(3) });
}

#[test]
fn an_order_that_cannot_be_applied_has_no_effect() {
    let mut machine = Revisions::default();
    let without_base = Apply {
        origin: origin("a", "amal"),
        base: Revision(0),
        mark: document("normal", 1).mark(),
        changes: None,
    };
    let outcome = execute(&mut machine, &Command::Apply(without_base.clone()));
    assert_eq!(outcome, Outcome::Behind { current: Revision(0) });
    let changes = Document::default().changes_to(&document("urgent", 1));
    let wrong = Apply { changes: Some(changes), ..without_base };
    assert_eq!(execute(&mut machine, &Command::Apply(wrong)), Outcome::Malformed);
    assert_eq!(machine, Revisions::default());
    assert!(!machine.restore(&[1, 2, 3]));
}

#[test]
fn history_and_answered_orders_are_bounded() {
    let mut machine = Revisions::default();
    let count = MAX_ANSWERED_ORDERS as u64 + 100;
    for base in 0..count {
        let content = document("normal", base as u32 + 1);
        let command = apply(&machine, base, &format!("order-{base}"), "amal", &content);
        assert_eq!(execute(&mut machine, &command), accepted(base + 1));
    }
    assert_eq!(machine.history().entries().count(), MAX_HISTORY_REVISIONS);
    let oldest = machine.history().oldest(machine.revision());
    assert_eq!(oldest, Revision(count - MAX_HISTORY_REVISIONS as u64));
    assert!(machine.content(oldest).is_some());
    let dropped = apply(&machine, 0, "order-0", "amal", &document("normal", 1));
    assert!(matches!(execute(&mut machine, &dropped), Outcome::Conflict { winner: None, .. }));
    assert!(machine.snapshot().len() < 4 << 20, "{}", machine.snapshot().len());
}

/// Sends concurrent, retried and reordered orders, and restores the state machine from snapshots.
fn run_concurrent_orders(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut machine = Revisions::default();
    let mut sent: Vec<Command> = Vec::new();
    let mut outcomes: BTreeMap<Order, Outcome> = BTreeMap::new();
    let mut accepted_documents: BTreeMap<Revision, Document> = BTreeMap::new();
    for round in 0..30 {
        let newest = machine.revision().0;
        let mut batch = Vec::new();
        for operator in 0..random.random_range(1..4) {
            let base = newest.saturating_sub(random.random_range(0..3));
            let order = format!("{round}-{operator}");
            let content = document("normal", random.random_range(1..6));
            batch.push(apply(&machine, base, &order, &format!("operator-{operator}"), &content));
        }
        sent.extend(batch.iter().cloned());
        batch.extend(sent.choose(&mut random).cloned());
        batch.shuffle(&mut random);
        for command in batch {
            let before = machine.revision();
            let outcome = execute(&mut machine, &command);
            let Command::Apply(order) = command else { unreachable!() };
            let first = outcomes.entry(order.origin.order).or_insert(outcome.clone());
            assert_eq!(*first, outcome, "seed {seed}: a retry got another outcome");
            if machine.revision() > before {
                assert_eq!(machine.revision(), before.next(), "seed {seed}");
                assert_eq!(order.base, before, "seed {seed}: a stale base was accepted");
                accepted_documents.insert(machine.revision(), machine.document().clone());
            }
        }
        if random.random_range(0..5) == 0 {
            let mut restored = Revisions::default();
            assert!(restored.restore(&machine.snapshot()));
            assert_eq!(restored, machine, "seed {seed}");
            machine = restored;
        }
    }
    let accepted =
        outcomes.values().filter(|outcome| matches!(outcome, Outcome::Accepted { .. })).count();
    assert_eq!(accepted as u64, machine.revision().0, "seed {seed}: a revision without an order");
    assert_eq!(machine.history().records().count(), accepted, "seed {seed}");
    for (revision, content) in &accepted_documents {
        assert_eq!(machine.content(*revision).as_ref(), Some(content), "seed {seed}");
    }
}

#[test]
fn concurrent_orders_never_share_a_revision() {
    (0..SEEDS).for_each(run_concurrent_orders);
}
