//! Acknowledgements of leaves: none is given before enough disks hold the leave, whatever the order
//! of writes, failures, messages and restarts.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use names::Instance;
use proptest::prelude::*;
use roster::departure::Departure;
use roster::durability::{
    Holder, Leave, Pledges, Requirement, Revision, Rounds, Step, Ticket, WriteResult, Writer,
};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_millis(700);

fn holder(index: usize, data_centre: &str) -> Holder {
    Holder {
        instance: format!("control-{index}").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
    }
}

fn leave(upstream: &str) -> Leave {
    let upstream = upstream.parse().unwrap();
    Leave::Departure(Departure { upstream, through: None, before: Some(1) })
}

/// Names of the upstreams whose leaves an instance knows, or a disk holds.
type Leaves = BTreeSet<String>;

fn name(leave: &Leave) -> String {
    match leave {
        Leave::Departure(departure) => departure.upstream.to_string(),
        Leave::Record(record) => record.announcement.upstream.to_string(),
    }
}

/// A message between two instances.
#[derive(Debug, Clone)]
enum Message {
    Store(Ticket, Leave),
    Stored(Ticket),
}

/// A control instance with a disk that the test controls.
struct Control {
    me: Holder,
    known: Leaves,
    disk: Leaves,
    /// Content of the running write.
    written: Option<Leaves>,
    writer: Writer,
    rounds: Rounds<String>,
    pledges: Pledges,
}

impl Control {
    fn new(me: Holder, first_ticket: u32) -> Self {
        let rounds = Rounds::new(me.clone(), first_ticket);
        let (writer, pledges) = (Writer::default(), Pledges::default());
        let (known, disk) = (Leaves::new(), Leaves::new());
        Self { me, known, disk, written: None, writer, rounds, pledges }
    }

    fn apply(&mut self, leave: &Leave) {
        if self.known.insert(name(leave)) {
            self.writer.add();
        }
    }

    fn continue_writing(&mut self, now: Instant) {
        if let Step::Write(_) = self.writer.next_step(now) {
            assert!(self.written.is_none(), "two writes run at the same time");
            self.written = Some(self.known.clone());
        }
    }

    fn end_write(&mut self, now: Instant, result: WriteResult) {
        let Some(written) = self.written.take() else {
            return;
        };
        if result == WriteResult::Stored {
            self.disk = written;
        }
        self.writer.finish(now, result);
    }
}

/// A fleet of control instances, the messages between them, and the time.
struct Fleet {
    now: Instant,
    controls: Vec<Control>,
    requirement: Requirement,
    /// Messages with sender and receiver.
    messages: VecDeque<(usize, usize, Message)>,
    starts: u32,
    acknowledged: Leaves,
    refused: usize,
}

/// An event that the test chooses.
#[derive(Debug, Clone)]
enum Event {
    /// An upstream of a few sends its leave to an instance.
    Leave { control: usize, upstream: usize },
    /// A message arrives, or is lost.
    Deliver { message: usize, is_lost: bool },
    /// The running write of an instance ends.
    EndWrite { control: usize, is_stored: bool },
    /// An instance sends unconfirmed leaves again, and refuses those that expired.
    Resend { control: usize },
    /// An instance is killed and restarts with its disk.
    Restart { control: usize },
    /// Time passes.
    Pass { millis: u64 },
}

impl Fleet {
    fn new(data_centres: &[&str], losses_borne: usize) -> Self {
        let holders: Vec<Holder> =
            data_centres.iter().enumerate().map(|(index, place)| holder(index, place)).collect();
        let requirement = Requirement::new(losses_borne, &holders, 0);
        let starts = holders.len() as u32;
        let controls =
            holders.into_iter().zip(0..).map(|(me, start)| Control::new(me, start << 16));
        Self {
            now: Instant::now(),
            controls: controls.collect(),
            requirement,
            messages: VecDeque::new(),
            starts,
            acknowledged: Leaves::new(),
            refused: 0,
        }
    }

    fn index_of(&self, instance: &Instance) -> usize {
        self.controls.iter().position(|control| control.me.instance == *instance).unwrap()
    }

    fn perform(&mut self, event: Event) {
        let (now, count) = (self.now, self.controls.len());
        match event {
            Event::Leave { control, upstream } => {
                let (index, leave) = (control % count, leave(&format!("i-{upstream}")));
                let control = &mut self.controls[index];
                control.apply(&leave);
                control.continue_writing(now);
                let (revision, expires_at) = (control.writer.newest(), now + TIMEOUT);
                let ticket =
                    control.rounds.begin(leave.clone(), revision, expires_at, name(&leave));
                for other in (0..count).filter(|other| *other != index) {
                    let message = Message::Store(ticket, leave.clone());
                    self.messages.push_back((index, other, message));
                }
            }
            Event::Deliver { message, is_lost } => {
                let length = self.messages.len();
                let chosen = self.messages.remove(message % length.max(1));
                if let Some((sender, receiver, message)) = chosen.filter(|_| !is_lost) {
                    self.deliver(sender, receiver, message);
                }
            }
            Event::EndWrite { control, is_stored } => {
                let result = if is_stored { WriteResult::Stored } else { WriteResult::Failed };
                self.controls[control % count].end_write(now, result);
            }
            Event::Resend { control } => {
                let index = control % count;
                self.refused += self.controls[index].rounds.take_expired(now).len();
                for other in (0..count).filter(|other| *other != index) {
                    let instance = &self.controls[other].me.instance;
                    for (ticket, leave) in self.controls[index].rounds.missing(instance) {
                        let message = Message::Store(ticket, leave.clone());
                        self.messages.push_back((index, other, message));
                    }
                }
            }
            Event::Restart { control } => {
                let index = control % count;
                self.starts += 1;
                let former = &self.controls[index];
                let (me, disk) = (former.me.clone(), former.disk.clone());
                let mut restarted = Control::new(me, self.starts << 16);
                (restarted.known, restarted.disk) = (disk.clone(), disk);
                self.controls[index] = restarted;
            }
            Event::Pass { millis } => self.now += Duration::from_millis(millis),
        }
        self.settle();
    }

    fn deliver(&mut self, sender: usize, receiver: usize, message: Message) {
        let holder = self.controls[sender].me.clone();
        let control = &mut self.controls[receiver];
        match message {
            Message::Store(ticket, leave) => {
                control.apply(&leave);
                let revision = control.writer.newest();
                control.pledges.add(holder.instance, ticket, revision, self.now + TIMEOUT);
            }
            Message::Stored(ticket) => control.rounds.record_copy(ticket, &holder),
        }
    }

    /// Starts the writes that are due, sends the confirmations, and checks the acknowledgements.
    fn settle(&mut self) {
        for index in 0..self.controls.len() {
            let control = &mut self.controls[index];
            control.continue_writing(self.now);
            let stored = control.writer.stored();
            for (instance, ticket) in control.pledges.take_stored(self.now, stored) {
                let receiver = self.index_of(&instance);
                self.messages.push_back((index, receiver, Message::Stored(ticket)));
            }
            let control = &mut self.controls[index];
            control.rounds.record_own(stored);
            for (leave, upstream) in control.rounds.take_durable(self.requirement) {
                assert_eq!(name(&leave), upstream);
                self.check_copies(&upstream);
                self.acknowledged.insert(upstream);
            }
        }
    }

    fn check_copies(&self, upstream: &str) {
        let holders = self.controls.iter().filter(|control| control.disk.contains(upstream));
        let holders: Vec<&Holder> = holders.map(|control| &control.me).collect();
        let places: BTreeSet<_> = holders.iter().map(|holder| &holder.data_centre).collect();
        let Requirement { copies, data_centres } = self.requirement;
        assert!(copies <= holders.len(), "{upstream} acknowledged with copies at {holders:?}");
        assert!(data_centres <= places.len(), "{upstream} acknowledged in {places:?}");
    }

    /// Returns whether any disk other than that of `lost` holds the leave.
    fn survives_loss_of(&self, lost: usize, upstream: &str) -> bool {
        let others = self.controls.iter().enumerate().filter(|(index, _)| *index != lost);
        others.map(|(_, control)| control).any(|control| control.disk.contains(upstream))
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..6usize, 0..6usize).prop_map(|(control, upstream)| Event::Leave { control, upstream }),
        8 => (0..40usize, prop::bool::weighted(0.1))
            .prop_map(|(message, is_lost)| Event::Deliver { message, is_lost }),
        6 => (0..6usize, prop::bool::weighted(0.7))
            .prop_map(|(control, is_stored)| Event::EndWrite { control, is_stored }),
        2 => (0..6usize).prop_map(|control| Event::Resend { control }),
        1 => (0..6usize).prop_map(|control| Event::Restart { control }),
        2 => (1..400u64).prop_map(|millis| Event::Pass { millis }),
    ]
}

const PLACES: [&str; 6] = ["giza", "luxor", "giza", "aswan", "luxor", "giza"];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against an acknowledgement without the writes that cover it.
    #[test]
    fn no_leave_is_acknowledged_before_enough_disks_hold_it(
        controls in 1..=6usize,
        losses_borne in 0..3usize,
        events in prop::collection::vec(event(), 1..200),
    ) {
        let mut fleet = Fleet::new(&PLACES[..controls], losses_borne);
        for event in events {
            fleet.perform(event);
        }
        if controls > losses_borne && losses_borne > 0 {
            for upstream in &fleet.acknowledged {
                for lost in 0..controls {
                    prop_assert!(fleet.survives_loss_of(lost, upstream), "{upstream} without {lost}");
                }
            }
        }
    }

    /// Guards against acknowledgements that stay away although all disks and links work again.
    #[test]
    fn every_leave_is_acknowledged_once_disks_and_links_work(
        controls in 1..=6usize,
        events in prop::collection::vec(event(), 1..100),
    ) {
        let mut fleet = Fleet::new(&PLACES[..controls], 1);
        for event in events {
            fleet.perform(event);
        }
        fleet.acknowledged.clear();
        fleet.perform(Event::Leave { control: 0, upstream: 9 });
        for _ in 0..3 {
            fleet.perform(Event::Pass { millis: 200 });
            for control in 0..controls {
                fleet.perform(Event::EndWrite { control, is_stored: true });
                fleet.perform(Event::EndWrite { control, is_stored: true });
            }
            while !fleet.messages.is_empty() {
                fleet.perform(Event::Deliver { message: 0, is_lost: false });
            }
        }
        prop_assert!(fleet.acknowledged.contains("i-9"));
    }
}

/// What a disk does with a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disk {
    Works,
    Refuses,
    Hangs,
}

impl Disk {
    fn serve(self, control: usize, fleet: &mut Fleet) {
        match self {
            Self::Works => fleet.perform(Event::EndWrite { control, is_stored: true }),
            Self::Refuses => fleet.perform(Event::EndWrite { control, is_stored: false }),
            Self::Hangs => {}
        }
    }
}

#[test_case([Disk::Works, Disk::Works, Disk::Works], true; "all disks work")]
#[test_case([Disk::Hangs, Disk::Works, Disk::Works], true; "own disk hangs")]
#[test_case([Disk::Refuses, Disk::Works, Disk::Works], true; "own disk is full")]
#[test_case([Disk::Works, Disk::Hangs, Disk::Works], true; "one other disk hangs")]
#[test_case([Disk::Works, Disk::Hangs, Disk::Refuses], false; "only the own disk works")]
#[test_case([Disk::Hangs, Disk::Refuses, Disk::Works], false; "only one other disk works")]
#[test_case([Disk::Refuses, Disk::Refuses, Disk::Refuses], false; "all disks are full")]
fn a_leave_is_acknowledged_if_two_of_three_disks_work(disks: [Disk; 3], is_acknowledged: bool) {
    let mut fleet = Fleet::new(&["giza"; 3], 1);
    fleet.perform(Event::Leave { control: 0, upstream: 1 });
    for _ in 0..5 {
        for (control, disk) in disks.into_iter().enumerate() {
            disk.serve(control, &mut fleet);
        }
        for _ in 0..20 {
            fleet.perform(Event::Deliver { message: 0, is_lost: false });
        }
        fleet.perform(Event::Pass { millis: 200 });
        fleet.perform(Event::Resend { control: 0 });
    }
    assert_eq!(fleet.acknowledged.contains("i-1"), is_acknowledged);
    assert_eq!(fleet.refused, usize::from(!is_acknowledged));
}

#[test]
fn leaves_that_arrive_during_a_write_share_the_next_one() {
    let now = Instant::now();
    let mut writer = Writer::default();
    writer.add();
    let first = writer.newest();
    assert_eq!(writer.next_step(now), Step::Write(first));
    writer.add();
    writer.add();
    assert_eq!(writer.next_step(now), Step::Wait);
    writer.finish(now, WriteResult::Stored);
    assert_eq!(writer.stored(), first);
    assert_eq!(writer.next_step(now), Step::Write(writer.newest()));
    writer.finish(now, WriteResult::Stored);
    assert_eq!(writer.stored(), writer.newest());
    assert_eq!(writer.next_step(now), Step::Wait);
}

#[test]
fn a_failed_write_is_repeated_after_a_delay() {
    let now = Instant::now();
    let mut writer = Writer::default();
    writer.add();
    assert!(matches!(writer.next_step(now), Step::Write(_)));
    writer.finish(now, WriteResult::Failed);
    assert_eq!(writer.stored(), Revision::default());
    let Step::Retry(at) = writer.next_step(now) else {
        panic!("a failed write is repeated at once");
    };
    assert!(now < at);
    assert!(matches!(writer.next_step(at), Step::Write(_)));
}

#[test_case(1, &["giza"], 1, 1, 1; "the only control instance")]
#[test_case(1, &["giza"], 3, 2, 1; "no contact to the others")]
#[test_case(1, &["giza", "giza", "giza"], 3, 2, 1; "one data centre")]
#[test_case(1, &["giza", "luxor", "aswan"], 3, 2, 2; "three data centres")]
#[test_case(2, &["giza", "luxor", "aswan", "giza", "luxor"], 3, 3, 2; "two losses")]
#[test_case(0, &["giza", "luxor"], 2, 1, 1; "no loss")]
fn the_requirement_follows_the_losses_that_the_fleet_bears(
    losses_borne: usize,
    live: &[&str],
    known: usize,
    copies: usize,
    data_centres: usize,
) {
    let live: Vec<Holder> =
        live.iter().enumerate().map(|(index, place)| holder(index, place)).collect();
    let requirement = Requirement::new(losses_borne, &live, known);
    assert_eq!(requirement, Requirement { copies, data_centres });
}
