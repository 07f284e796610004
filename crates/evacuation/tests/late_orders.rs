//! Orders that are committed late: none undoes an order that was acknowledged in the meantime, at any
//! voter, whatever the order of deliveries, repeats, losses and elections.

#![allow(clippy::unwrap_used)]

use evacuation::{Command, MAX_DATA_CENTRES, Number, Order, OrderLog, Orders, Outcome};
use names::DataCentre;
use proptest::prelude::*;
use state::{Index, Machine};
use test_case::test_case;

const CONTROLS: usize = 4;
const PLACES: usize = 2;

fn data_centre(number: usize) -> DataCentre {
    format!("place-{number}").parse().unwrap()
}

fn apply(log: &mut OrderLog, command: &[u8]) -> Outcome {
    postcard::from_bytes(&log.apply(Index(1), command)).unwrap()
}

/// Returns the command for an order that an instance reads while it knows the orders `known`.
fn command(known: &Orders, place: usize, is_evacuated: bool) -> Vec<u8> {
    let data_centre = data_centre(place);
    let base = known.get(&data_centre).number;
    let known = known.greatest();
    postcard::to_allocvec(&Command::Replace { data_centre, is_evacuated, known, base }).unwrap()
}

fn in_force(number: u64, is_evacuated: bool) -> Outcome {
    Outcome::InForce(Order { number: Number(number), is_evacuated })
}

/// A proposed command, which is committed at any time, more than once, or never.
#[derive(Debug, Clone)]
struct Proposal {
    place: usize,
    /// Number of the order among those of the operator.
    order: usize,
    bytes: Vec<u8>,
}

/// An operator, who gives orders about one data centre.
#[derive(Debug, Clone, Default)]
struct Operator {
    /// Directions of the orders that were given.
    given: Vec<bool>,
    /// Number of orders up to the last one that was acknowledged.
    acknowledged: usize,
    /// Whether the operator waits for the acknowledgement of the last order.
    is_waiting: bool,
}

impl Operator {
    /// Returns whether the data centre may be evacuated, or not, by what the operator knows.
    fn allows(&self, is_evacuated: bool) -> bool {
        let last = self.acknowledged.checked_sub(1).map(|index| self.given[index]);
        let is_acknowledged = last.unwrap_or(false) == is_evacuated;
        is_acknowledged || self.given[self.acknowledged..].contains(&is_evacuated)
    }
}

/// An event that the test chooses. Numbers are taken modulo the count of what they number.
#[derive(Debug, Clone)]
enum Event {
    /// An operator gives an order, and gives up the previous one if it waits.
    Give { place: usize, is_evacuated: bool },
    /// An operator sends its order to a control instance.
    Send { place: usize, control: usize },
    /// A proposal is committed; another copy of it may be committed later, and the answer be lost.
    Commit { proposal: usize, is_kept: bool, is_answered: bool },
    /// A proposal is lost in an election.
    Lose { proposal: usize },
    /// A control instance learns the orders in force.
    Learn { control: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..PLACES, any::<bool>())
            .prop_map(|(place, is_evacuated)| Event::Give { place, is_evacuated }),
        6 => (0..PLACES, 0..CONTROLS).prop_map(|(place, control)| Event::Send { place, control }),
        6 => (0..20usize, prop::bool::weighted(0.3), prop::bool::weighted(0.8)).prop_map(
            |(proposal, is_kept, is_answered)| Event::Commit { proposal, is_kept, is_answered }
        ),
        1 => (0..20usize).prop_map(|proposal| Event::Lose { proposal }),
        4 => (0..CONTROLS).prop_map(|control| Event::Learn { control }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Guards against late copies of orders that undo an acknowledged order.
    #[test]
    fn a_late_order_undoes_no_acknowledged_one(events in prop::collection::vec(event(), 1..120)) {
        let mut log = OrderLog::default();
        let mut committed: Vec<Vec<u8>> = Vec::new();
        let mut controls = vec![Orders::default(); CONTROLS];
        let mut operators = vec![Operator::default(); PLACES];
        let mut proposals: Vec<Proposal> = Vec::new();
        for event in events {
            match event {
                Event::Give { place, is_evacuated } => {
                    operators[place].given.push(is_evacuated);
                    operators[place].is_waiting = true;
                }
                Event::Send { place, control } if operators[place].is_waiting => {
                    let order = operators[place].given.len();
                    let is_evacuated = operators[place].given[order - 1];
                    let bytes = command(&controls[control], place, is_evacuated);
                    proposals.push(Proposal { place, order, bytes });
                }
                Event::Commit { proposal, is_kept, is_answered } if !proposals.is_empty() => {
                    let index = proposal % proposals.len();
                    let proposal = proposals[index].clone();
                    if !is_kept {
                        proposals.remove(index);
                    }
                    let outcome = apply(&mut log, &proposal.bytes);
                    committed.push(proposal.bytes);
                    let operator = &mut operators[proposal.place];
                    let is_current = operator.is_waiting && operator.given.len() == proposal.order;
                    if is_current && is_answered && matches!(outcome, Outcome::InForce(_)) {
                        operator.acknowledged = proposal.order;
                        operator.is_waiting = false;
                    }
                }
                Event::Lose { proposal } if !proposals.is_empty() => {
                    proposals.remove(proposal % proposals.len());
                }
                Event::Learn { control } => drop(controls[control].merge(log.orders())),
                Event::Send { .. } | Event::Commit { .. } | Event::Lose { .. } => {}
            }
            for (place, operator) in operators.iter().enumerate() {
                let order = log.orders().get(&data_centre(place));
                prop_assert!(operator.allows(order.is_evacuated), "{order:?}, {operator:?}");
            }
        }
        let mut voter = OrderLog::default();
        for command in &committed {
            apply(&mut voter, command);
        }
        prop_assert_eq!(&voter, &log);
        // An instance that knows the orders in force has no order refused.
        for place in 0..PLACES {
            let next = command(log.orders(), place, true);
            let number = log.last().0 + 1;
            prop_assert_eq!(apply(&mut log, &next), in_force(number, true));
        }
    }
}

/// Guards against a late withdrawal that undoes an evacuation, and against a late evacuation that
/// empties a data centre which was taken back.
#[test_case(false; "late withdrawal")]
#[test_case(true; "late evacuation")]
fn an_order_given_against_an_older_one_changes_nothing(is_evacuated: bool) {
    let mut log = OrderLog::default();
    let late = command(log.orders(), 0, is_evacuated);
    let repeat = command(log.orders(), 0, is_evacuated);
    assert_eq!(apply(&mut log, &repeat), in_force(1, is_evacuated));
    let next = command(log.orders(), 0, !is_evacuated);
    assert_eq!(apply(&mut log, &next), in_force(2, !is_evacuated));
    let newest = Order { number: Number(2), is_evacuated: !is_evacuated };
    assert_eq!(apply(&mut log, &late), Outcome::Outdated(newest));
    assert_eq!(log.orders().get(&data_centre(0)), newest);
}

/// Guards against an order that was given up and undoes a later one which found its wish in force.
#[test]
fn an_order_that_changes_nothing_outdates_earlier_ones() {
    let mut log = OrderLog::default();
    let evacuation = command(log.orders(), 0, true);
    assert_eq!(apply(&mut log, &evacuation), in_force(1, true));
    let given_up = command(log.orders(), 0, false);
    let repeat = command(log.orders(), 0, true);
    assert_eq!(apply(&mut log, &repeat), in_force(2, true));
    let newest = Order { number: Number(2), is_evacuated: true };
    assert_eq!(apply(&mut log, &given_up), Outcome::Outdated(newest));
}

/// Guards against a repeat that is refused at an instance which does not know the first copy yet.
#[test]
fn a_repeat_against_an_older_base_is_in_force() {
    let mut log = OrderLog::default();
    let first = command(log.orders(), 0, true);
    let repeat = command(log.orders(), 0, true);
    assert_eq!(apply(&mut log, &first), in_force(1, true));
    assert_eq!(apply(&mut log, &repeat), in_force(2, true));
}

/// Guards against orders that are refused because orders about other data centres were committed.
#[test]
fn orders_about_other_data_centres_outdate_nothing() {
    let mut log = OrderLog::default();
    let first = command(log.orders(), 0, true);
    let second = command(log.orders(), 1, true);
    assert_eq!(apply(&mut log, &second), in_force(1, true));
    assert_eq!(apply(&mut log, &first), in_force(2, true));
}

/// Guards against orders that are refused after the loss of the log, because surviving copies have
/// greater numbers than it has given.
#[test]
fn an_order_against_a_copy_of_a_lost_log_is_in_force() {
    let mut copies = Orders::default();
    let mut lost = OrderLog::default();
    for is_evacuated in [true, false, true] {
        let given = command(lost.orders(), 0, is_evacuated);
        apply(&mut lost, &given);
    }
    copies.merge(lost.orders());
    let mut log = OrderLog::default();
    let unknowing = command(&Orders::default(), 0, true);
    assert_eq!(apply(&mut log, &unknowing), in_force(1, true));
    let given = command(&copies, 0, false);
    assert_eq!(apply(&mut log, &given), in_force(4, false));
}

/// Guards against withdrawals that fill the memory or are refused, and against evacuations beyond the
/// limit.
#[test]
fn at_the_limit_unknown_data_centres_are_not_remembered() {
    let mut log = OrderLog::default();
    for place in 0..MAX_DATA_CENTRES {
        let given = command(log.orders(), place, place % 2 == 0);
        assert_eq!(apply(&mut log, &given), in_force(place as u64 + 1, place % 2 == 0));
    }
    let withdrawal = command(log.orders(), MAX_DATA_CENTRES, false);
    assert_eq!(apply(&mut log, &withdrawal), in_force(0, false));
    let evacuation = command(log.orders(), MAX_DATA_CENTRES, true);
    assert_eq!(apply(&mut log, &evacuation), Outcome::TooMany);
    assert_eq!(log.orders().len(), MAX_DATA_CENTRES);
}

/// Guards against a log of an earlier version that a later version applies otherwise, or cannot read.
/// The bytes are those that the earlier version wrote.
#[test]
fn commands_and_snapshots_of_an_earlier_version_are_read() {
    let mut log = OrderLog::default();
    // Evacuation of "a", known number 0; its repeat; withdrawal, known number 1.
    assert_eq!(apply(&mut log, &[0, 1, b'a', 1, 0]), in_force(1, true));
    assert_eq!(apply(&mut log, &[0, 1, b'a', 1, 1]), in_force(1, true));
    assert_eq!(apply(&mut log, &[0, 1, b'a', 0, 1]), in_force(2, false));
    let mut restored = OrderLog::default();
    // Number 2, one order: about "a", number 2, a withdrawal.
    assert!(restored.restore(&[2, 1, 1, b'a', 2, 0]));
    assert_eq!(restored, log);
}
