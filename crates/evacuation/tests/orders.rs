//! Orders about data centres: none that was acknowledged is lost or undone, whatever the order of
//! commits, messages, writes, restarts and losses of disks.

#![allow(clippy::unwrap_used)]

use evacuation::{Command, MAX_DATA_CENTRES, Number, Order, OrderLog, Orders, Outcome};
use names::DataCentre;
use proptest::prelude::*;
use state::{Index, Machine};
use test_case::test_case;

const CONTROLS: usize = 5;
const LOSSES_BORNE: usize = 2;

fn data_centre(number: usize) -> DataCentre {
    format!("place-{number}").parse().unwrap()
}

fn command(data_centre: &DataCentre, is_evacuated: bool, known: Number) -> Vec<u8> {
    let data_centre = data_centre.clone();
    postcard::to_allocvec(&Command::Order { data_centre, is_evacuated, known }).unwrap()
}

fn apply(log: &mut OrderLog, command: &[u8]) -> Outcome {
    postcard::from_bytes(&log.apply(Index(1), command)).unwrap()
}

fn order(log: &mut OrderLog, number: usize, is_evacuated: bool, known: u64) -> Outcome {
    apply(log, &command(&data_centre(number), is_evacuated, Number(known)))
}

fn in_force(number: u64, is_evacuated: bool) -> Outcome {
    Outcome::InForce(Order { number: Number(number), is_evacuated })
}

/// A control instance.
#[derive(Debug, Clone, Default)]
struct Control {
    /// State machine, which is computed again from the log after a restart.
    log: OrderLog,
    applied: usize,
    /// Orders in memory.
    orders: Orders,
    /// Orders on disk outside the log.
    disk: Orders,
}

/// An event that the test chooses. Numbers of instances are taken modulo their count.
#[derive(Debug, Clone)]
enum Event {
    /// An operator sends an order, or repeats one, and the log commits it.
    Order { control: usize, place: usize, is_evacuated: bool },
    /// An instance applies the next committed command.
    Apply { control: usize },
    /// An instance sends its orders to another one.
    Send { from: usize },
    /// A message arrives, is repeated, or is lost.
    Deliver { message: usize, to: usize, is_kept: bool, is_lost: bool },
    /// An instance writes its orders to disk.
    Write { control: usize },
    /// An instance restarts, and may have lost its disk.
    Restart { control: usize, is_disk_lost: bool },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..CONTROLS, 0..3usize, any::<bool>()).prop_map(|(control, place, is_evacuated)| {
            Event::Order { control, place, is_evacuated }
        }),
        6 => (0..CONTROLS).prop_map(|control| Event::Apply { control }),
        4 => (0..CONTROLS).prop_map(|from| Event::Send { from }),
        6 => (0..20usize, 0..CONTROLS, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(message, to, is_kept, is_lost)| {
                Event::Deliver { message, to, is_kept, is_lost }
            }),
        6 => (0..CONTROLS).prop_map(|control| Event::Write { control }),
        1 => (0..CONTROLS, any::<bool>())
            .prop_map(|(control, is_disk_lost)| Event::Restart { control, is_disk_lost }),
    ]
}

impl Control {
    fn apply_next(&mut self, log: &[Vec<u8>]) {
        if let Some(command) = log.get(self.applied) {
            apply(&mut self.log, command);
            self.applied += 1;
            self.orders.merge(self.log.orders());
        }
    }
}

/// Returns whether the orders of `before` are still known in `after`, or newer ones.
fn is_kept(before: &Orders, after: &Orders) -> bool {
    before <= after
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against acknowledged orders that are lost with the tolerated number of disks, against
    /// older state that undoes a newer order, and against instances that disagree in the end.
    #[test]
    fn acknowledged_orders_survive_and_all_instances_agree(
        events in prop::collection::vec(event(), 1..150),
        lossy in prop::collection::vec(0..CONTROLS, LOSSES_BORNE),
    ) {
        let mut controls = vec![Control::default(); CONTROLS];
        let (mut log, mut leader) = (Vec::new(), OrderLog::default());
        let mut messages: Vec<Orders> = Vec::new();
        // Orders whose acknowledgements wait for copies.
        let mut waiting: Vec<Orders> = Vec::new();
        let mut acknowledged = Orders::default();
        for event in events {
            let before: Vec<Orders> =
                controls.iter().map(|control| control.orders.clone()).collect();
            let mut restarted = None;
            match event {
                Event::Order { control, place, is_evacuated } => {
                    let known = controls[control].orders.greatest();
                    let command = command(&data_centre(place), is_evacuated, known);
                    let Outcome::InForce(order) = apply(&mut leader, &command) else {
                        panic!("the order was refused");
                    };
                    prop_assert_eq!(order.is_evacuated, is_evacuated);
                    log.push(command);
                    let single = Orders::single(data_centre(place), order);
                    controls[control].orders.merge(&single);
                    waiting.push(single);
                }
                Event::Apply { control } => controls[control].apply_next(&log),
                Event::Send { from } => messages.push(controls[from].orders.clone()),
                Event::Deliver { message, to, is_kept, is_lost } if !messages.is_empty() => {
                    let index = message % messages.len();
                    if !is_lost {
                        controls[to].orders.merge(&messages[index]);
                    }
                    if !is_kept {
                        messages.remove(index);
                    }
                }
                Event::Deliver { .. } => {}
                Event::Write { control } => controls[control].disk = controls[control].orders.clone(),
                Event::Restart { control, is_disk_lost } => {
                    let is_lost = is_disk_lost && lossy.contains(&control);
                    let disk = std::mem::take(&mut controls[control].disk);
                    let disk = if is_lost { Orders::default() } else { disk };
                    let orders = disk.clone();
                    controls[control] = Control { orders, disk, ..Control::default() };
                    restarted = Some(control);
                }
            }
            for (index, before) in before.iter().enumerate() {
                let is_restarted = restarted == Some(index);
                prop_assert!(is_restarted || is_kept(before, &controls[index].orders));
            }
            waiting.retain(|order| {
                let copies = controls.iter().filter(|control| *order <= control.disk).count();
                let is_stored = copies > LOSSES_BORNE;
                if is_stored {
                    acknowledged.merge(order);
                }
                !is_stored
            });
            // All processes end, the lossy disks are lost, and the log has no leader.
            let mut surviving = Orders::default();
            for (_, control) in
                controls.iter().enumerate().filter(|(index, _)| !lossy.contains(index))
            {
                surviving.merge(&control.disk);
            }
            prop_assert!(is_kept(&acknowledged, &surviving), "{acknowledged:?} {surviving:?}");
        }
        for control in &mut controls {
            while control.applied < log.len() {
                control.apply_next(&log);
            }
            prop_assert_eq!(&control.orders, leader.orders());
            prop_assert_eq!(&control.log, &leader);
            prop_assert_eq!(control.orders.digest(), leader.orders().digest());
        }
    }

    /// Guards against a merge whose result depends on the order of messages.
    #[test]
    fn orders_merge_to_the_same_result_in_any_order(
        orders in prop::collection::vec((0..4usize, 1..9u64, any::<bool>()), 0..20),
        split in 0..20usize,
    ) {
        let single = |(place, number, is_evacuated): &(usize, u64, bool)| {
            let order = Order { number: Number(*number), is_evacuated: *is_evacuated };
            Orders::single(data_centre(*place), order)
        };
        let mut forwards = Orders::default();
        orders.iter().map(single).for_each(|order| drop(forwards.merge(&order)));
        let (first, second) = orders.split_at(split.min(orders.len()));
        let mut backwards = Orders::default();
        first.iter().rev().map(single).for_each(|order| drop(backwards.merge(&order)));
        let mut other = Orders::default();
        second.iter().rev().map(single).for_each(|order| drop(other.merge(&order)));
        backwards.merge(&other);
        prop_assert_eq!(&forwards, &backwards);
        prop_assert!(orders.iter().map(single).all(|order| order <= forwards));
        prop_assert!(forwards.clone().merge(&backwards).is_empty());
    }
}

/// Guards against repeats that count as new orders: a repeat that arrives late would undo an order
/// that was given in the meantime at another instance.
#[test]
fn a_repeat_of_the_order_in_force_keeps_its_number() {
    let mut log = OrderLog::default();
    assert_eq!(order(&mut log, 0, true, 0), in_force(1, true));
    assert_eq!(order(&mut log, 1, true, 1), in_force(2, true));
    assert_eq!(order(&mut log, 0, true, 2), in_force(1, true));
    assert_eq!(order(&mut log, 0, false, 2), in_force(3, false));
    assert_eq!(order(&mut log, 0, false, 3), in_force(3, false));
}

/// Guards against memory that grows with withdrawals for data centres that do not exist.
#[test]
fn a_withdrawal_without_an_evacuation_changes_nothing() {
    let mut log = OrderLog::default();
    assert_eq!(order(&mut log, 0, false, 0), in_force(0, false));
    assert!(log.orders().is_empty());
    assert!(Orders::single(data_centre(0), Order::default()).is_empty());
}

/// Guards against orders of a log that was lost which take precedence over newer orders, because the
/// new log numbers from the beginning.
#[test_case(true; "the surviving copy has an evacuation")]
#[test_case(false; "the surviving copy has a withdrawal")]
fn an_order_after_the_loss_of_the_log_takes_precedence_over_surviving_copies(is_evacuated: bool) {
    let surviving = Order { number: Number(9), is_evacuated };
    let mut copies = Orders::single(data_centre(0), surviving);
    for wanted in [is_evacuated, !is_evacuated] {
        let mut log = OrderLog::default();
        let known = copies.greatest().0;
        assert_eq!(order(&mut log, 0, wanted, known), in_force(known + 1, wanted));
        copies.merge(log.orders());
        assert_eq!(copies.get(&data_centre(0)).is_evacuated, wanted);
    }
}

/// Guards against state without a limit, and against a limit that refuses orders about data centres
/// that are known.
#[test]
fn at_most_256_data_centres_are_remembered() {
    let mut log = OrderLog::default();
    for number in 0..MAX_DATA_CENTRES {
        assert_eq!(order(&mut log, number, true, 0), in_force(number as u64 + 1, true));
    }
    assert_eq!(order(&mut log, MAX_DATA_CENTRES, true, 0), Outcome::TooMany);
    assert_eq!(order(&mut log, 0, true, 0), in_force(1, true));
    assert_eq!(order(&mut log, 0, false, 0), in_force(MAX_DATA_CENTRES as u64 + 1, false));
    assert_eq!(log.orders().len(), MAX_DATA_CENTRES);
}

/// Guards against a restart that loses orders, or the numbers that were given.
#[test]
fn a_snapshot_restores_orders_and_numbers() {
    let mut log = OrderLog::default();
    order(&mut log, 0, true, 0);
    order(&mut log, 1, true, 7);
    let mut restored = OrderLog::default();
    assert!(restored.restore(&log.snapshot()));
    assert_eq!(restored, log);
    assert_eq!(restored.last(), Number(8));
    assert!(!restored.restore(&[0xff; 3]));
    assert_eq!(restored, log);
    assert_eq!(apply(&mut restored, b"\xff"), Outcome::Malformed);
}
