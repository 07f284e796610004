//! Acknowledgements of versions: none is given before enough disks have held the version, whatever
//! the order of writes, reports and losses.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use roster::Copies;
use roster::durability::{Holder, Requirement};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_millis(700);
const PLACES: [&str; 5] = ["giza", "luxor", "giza", "aswan", "luxor"];

fn holder(index: usize) -> Holder {
    Holder {
        instance: format!("control-{index}").parse().unwrap(),
        data_centre: PLACES[index].parse().unwrap(),
    }
}

fn requirement(controls: usize, losses_borne: usize) -> Requirement {
    let live: Vec<Holder> = (0..controls).map(holder).collect();
    Requirement::new(losses_borne, &live, 0)
}

/// An event that the test chooses.
#[derive(Debug, Clone)]
enum Event {
    /// An acknowledgement of a version begins to wait.
    Wait { version: u64 },
    /// A disk stores a version, and a report is sent.
    Store { control: usize, version: u64 },
    /// A report arrives, or is lost.
    Deliver { report: usize, is_lost: bool },
    /// An instance loses its disk.
    Lose { control: usize },
    /// An instance is no longer a live member.
    Leave { control: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (1..6u64).prop_map(|version| Event::Wait { version }),
        6 => (0..5usize, 1..6u64).prop_map(|(control, version)| Event::Store { control, version }),
        6 => (0..20usize, prop::bool::weighted(0.1))
            .prop_map(|(report, is_lost)| Event::Deliver { report, is_lost }),
        1 => (0..5usize).prop_map(|control| Event::Lose { control }),
        1 => (0..5usize).prop_map(|control| Event::Leave { control }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against an acknowledgement without the writes that cover it.
    #[test]
    fn no_version_is_acknowledged_before_enough_disks_held_it(
        controls in 1..=5usize,
        losses_borne in 0..4usize,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let requirement = requirement(controls, losses_borne);
        let now = Instant::now();
        let mut copies = Copies::default();
        // Newest version that each disk holds, and that each instance ever had on a disk.
        let (mut disks, mut held) = (vec![0; controls], vec![0; controls]);
        let mut reports = Vec::new();
        for event in events {
            match event {
                Event::Wait { version } => copies.wait(version, now + TIMEOUT, version),
                Event::Store { control, version } => {
                    let control = control % controls;
                    disks[control] = version.max(disks[control]);
                    held[control] = version.max(held[control]);
                    reports.push((control, disks[control]));
                }
                Event::Deliver { report, is_lost } if !reports.is_empty() => {
                    let (control, version) = reports.remove(report % reports.len());
                    if !is_lost {
                        copies.record(holder(control), version);
                    }
                }
                Event::Deliver { .. } => {}
                Event::Lose { control } => disks[control % controls] = 0,
                Event::Leave { control } => {
                    let gone = control % controls;
                    let live: Vec<Holder> =
                        (0..controls).filter(|index| *index != gone).map(holder).collect();
                    copies.retain_live(&live);
                }
            }
            for version in copies.take_stored(requirement) {
                let holders: Vec<usize> =
                    (0..controls).filter(|control| version <= held[*control]).collect();
                let mut places: Vec<&str> = holders.iter().map(|index| PLACES[*index]).collect();
                places.sort_unstable();
                places.dedup();
                prop_assert!(requirement.copies <= holders.len(), "{version} at {holders:?}");
                prop_assert!(requirement.data_centres <= places.len(), "{version} in {places:?}");
            }
        }
    }
}

#[test_case(&[(0, 5), (1, 5)], true; "two instances in two data centres")]
#[test_case(&[(0, 5), (1, 7)], true; "a newer version counts")]
#[test_case(&[(0, 5), (1, 4)], false; "an older version does not count")]
#[test_case(&[(0, 5), (2, 5)], false; "one data centre")]
#[test_case(&[(0, 5), (0, 5)], false; "one instance twice")]
#[test_case(&[(1, 5), (1, 0), (0, 5)], false; "an instance that lost its disk since")]
fn a_version_is_acknowledged_once_two_disks_hold_it(reports: &[(usize, u64)], is_stored: bool) {
    let mut copies = Copies::default();
    copies.wait(5, Instant::now() + TIMEOUT, "acknowledgement");
    for (control, version) in reports {
        copies.record(holder(*control), *version);
    }
    assert_eq!(copies.take_stored(requirement(3, 1)).len(), usize::from(is_stored));
}

#[test]
fn a_version_that_enough_disks_hold_already_is_acknowledged_at_once() {
    let mut copies = Copies::default();
    copies.record(holder(0), 6);
    copies.record(holder(1), 6);
    copies.wait(5, Instant::now() + TIMEOUT, "acknowledgement");
    assert_eq!(copies.take_stored(requirement(3, 1)), ["acknowledgement"]);
}

/// A version of a value that has several parts, each of which has a number.
#[derive(Debug, PartialEq)]
struct Parts(u64, u64);

impl PartialOrd for Parts {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        let orders = (self.0.cmp(&other.0), self.1.cmp(&other.1));
        match orders {
            (first, second) if first == second => Some(first),
            (std::cmp::Ordering::Equal, other) | (other, std::cmp::Ordering::Equal) => Some(other),
            _ => None,
        }
    }
}

/// Guards against copies that count although they lack a part of the version.
#[test]
fn a_copy_counts_only_if_it_includes_the_version() {
    let mut copies = Copies::default();
    copies.wait(Parts(3, 0), Instant::now() + TIMEOUT, "acknowledgement");
    copies.record(holder(0), Parts(3, 0));
    copies.record(holder(1), Parts(2, 9));
    assert!(copies.take_stored(requirement(3, 1)).is_empty());
    assert!(copies.is_waiting());
    copies.record(holder(1), Parts(4, 9));
    assert_eq!(copies.take_stored(requirement(3, 1)), ["acknowledgement"]);
    assert!(!copies.is_waiting());
}

#[test]
fn an_acknowledgement_expires_once() {
    let now = Instant::now();
    let mut copies: Copies<u64, &str> = Copies::default();
    copies.wait(5, now + TIMEOUT, "acknowledgement");
    assert!(copies.take_expired(now).is_empty());
    assert_eq!(copies.take_expired(now + TIMEOUT), ["acknowledgement"]);
    assert!(copies.take_expired(now + TIMEOUT).is_empty());
}
