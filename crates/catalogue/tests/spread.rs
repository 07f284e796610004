//! A large fleet that gets documents over the narrow links of a few control instances.
//!
//! The load: documents of 30 KB in quick succession, for 71 entry instances in three data centres.
//! Found on the users' bench, day scale-1 of nasr-sky-grown: all asked the control instances once
//! the first ones took longer than expected, a megabyte waited on links of 3 Mbit/s, and heartbeats
//! behind it were late by seconds.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use catalogue::{Giving, Lack, Number, Outflow, turn};
use names::Instance;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);
const CONTROLS: usize = 6;

/// Entry instances by data centre: a large fleet, and a small one whose two last are often late.
const LARGE: [usize; 3] = [24, 22, 25];
const SMALL: [usize; 3] = [3, 1, 2];
const DOCUMENT: usize = 30_000;

/// Bytes a second of an entry instance's link.
const ENTRY_LINK: f64 = 1_250_000.0;

const FOLLOW_PERIOD: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// In which time a document has to be in force, and what a link may hold back: the time in which
/// followers of the log expect to hear of their leader.
const IN_FORCE: Duration = Duration::from_millis(2500);
const MOST_QUEUED: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
enum Message {
    Standing(u64),
    Fetch,
    Document(u64),
}

struct Node {
    name: Instance,
    data_centre: Option<usize>,
    neighbours: Vec<usize>,
    number: u64,
    lack: Lack,
    outflow: Outflow,
    fetched_at: Option<Instant>,
    waits: Vec<(Instant, usize, u64)>,
    link_free: Instant,
}

struct Play {
    begin: Instant,
    now: Instant,
    nodes: Vec<Node>,
    /// When each message arrives, from whom, to whom.
    flying: VecDeque<(Instant, usize, usize, Message)>,
    most_queued: Duration,
    /// Bytes a second of a control instance's link.
    control_link: f64,
}

impl Play {
    fn new(sites: [usize; 3], control_link: f64) -> Self {
        let now = Instant::now();
        let mut places: Vec<Option<usize>> = vec![None; CONTROLS];
        for (data_centre, count) in sites.iter().enumerate() {
            places.extend(std::iter::repeat_n(Some(data_centre), *count));
        }
        let node = |(index, place): (usize, &Option<usize>)| Node {
            name: format!("instance-{index}").parse().unwrap(),
            data_centre: *place,
            neighbours: (0..places.len())
                .filter(|other| *other != index && place.is_some() && places[*other] == *place)
                .collect(),
            number: 0,
            lack: Lack::default(),
            outflow: Outflow::new(
                if place.is_none() { control_link } else { ENTRY_LINK } * 8.0 / 1e6,
            ),
            fetched_at: None,
            waits: Vec::new(),
            link_free: now,
        };
        let nodes = places.iter().enumerate().map(node).collect();
        Self {
            begin: now,
            now,
            nodes,
            flying: VecDeque::new(),
            most_queued: Duration::ZERO,
            control_link,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let node = &mut self.nodes[from];
        let (bytes, rate) = match (message, node.data_centre) {
            (Message::Document(_), Some(_)) => (DOCUMENT, ENTRY_LINK),
            (Message::Document(_), None) => (DOCUMENT, self.control_link),
            (_, Some(_)) => (100, ENTRY_LINK),
            (_, None) => (100, self.control_link),
        };
        let carried = Duration::from_secs_f64(bytes as f64 / rate);
        node.link_free = node.link_free.max(self.now) + carried;
        if node.data_centre.is_none() {
            self.most_queued = self.most_queued.max(node.link_free - self.now);
        }
        let at = node.link_free + Duration::from_millis(1);
        self.flying.push_back((at, from, to, message));
    }

    fn compare(&mut self, me: usize, sender: usize, number: u64) {
        let node = &mut self.nodes[me];
        if number <= node.number {
            return;
        }
        match node.fetched_at.map(|at| at + FETCH_TIMEOUT).filter(|until| self.now < *until) {
            Some(until) if node.neighbours.contains(&sender) => {
                node.waits.push((until, sender, number));
            }
            Some(_) => {}
            None => {
                node.fetched_at = Some(self.now);
                self.send(me, sender, Message::Fetch);
            }
        }
    }

    fn take(&mut self, sender: usize, me: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Standing(number) if number > self.nodes[me].number => {
                let names: Vec<Instance> = self.nodes[me]
                    .neighbours
                    .iter()
                    .map(|one| self.nodes[*one].name.clone())
                    .collect();
                let node = &mut self.nodes[me];
                let is_first = !node.lack.is_known();
                let due = node.lack.note(now) + turn(&node.name, &names, Number(number));
                if node.neighbours.contains(&sender) || due <= now {
                    self.compare(me, sender, number);
                } else if is_first {
                    node.waits.push((due, sender, number));
                }
            }
            Message::Standing(_) => {}
            Message::Fetch => {
                let name = self.nodes[sender].name.clone();
                let gives = self.nodes[sender].data_centre.is_none();
                self.nodes[me].outflow.ask(name, gives);
                self.give(me);
            }
            Message::Document(number) => {
                let node = &mut self.nodes[me];
                node.fetched_at = None;
                node.lack.end();
                if number <= node.number {
                    return;
                }
                node.number = number;
                if !node.neighbours.contains(&sender) {
                    for neighbour in node.neighbours.clone() {
                        self.send(me, neighbour, Message::Standing(number));
                    }
                }
            }
        }
    }

    fn give(&mut self, me: usize) {
        while let Giving::Send(to) = self.nodes[me].outflow.next(self.now, DOCUMENT) {
            let to = self.nodes.iter().position(|node| node.name == to).unwrap();
            let number = self.nodes[me].number;
            self.send(me, to, Message::Document(number));
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let mut due: Vec<_> = self.flying.iter().filter(|one| one.0 <= now).copied().collect();
        self.flying.retain(|one| one.0 > now);
        due.sort_by_key(|one| one.0);
        for (_, from, to, message) in due {
            self.take(from, to, message);
        }
        for me in 0..self.nodes.len() {
            self.give(me);
            let waits: Vec<_> = self.nodes[me].waits.extract_if(.., |one| one.0 <= now).collect();
            for (_, sender, number) in waits {
                self.compare(me, sender, number);
            }
        }
    }

    fn entries(&self) -> std::ops::Range<usize> {
        CONTROLS..self.nodes.len()
    }

    /// Has all control instances say what they have to those entry instances that follow now.
    fn answer_followers(&mut self, step: u32) {
        let period = u32::try_from(FOLLOW_PERIOD.as_millis() / STEP.as_millis()).unwrap();
        for entry in self.entries() {
            if (step + u32::try_from(entry).unwrap() * 7).is_multiple_of(period) {
                for control in 0..CONTROLS {
                    let number = self.nodes[control].number;
                    if self.nodes[entry].number < number {
                        self.send(control, entry, Message::Standing(number));
                    }
                }
            }
        }
    }

    /// Has the log bring a document to all control instances.
    fn commit(&mut self, number: u64) {
        for control in 0..CONTROLS {
            self.nodes[control].number = number;
            for entry in self.entries() {
                self.send(control, entry, Message::Standing(number));
            }
        }
    }
}

#[test_case(1, LARGE, 375_000.0)]
#[test_case(2, LARGE, 375_000.0)]
#[test_case(3, LARGE, 375_000.0)]
#[test_case(4, LARGE, 375_000.0)]
#[test_case(5, LARGE, 375_000.0)]
#[test_case(1, SMALL, 375_000.0)]
#[test_case(2, SMALL, 375_000.0)]
#[test_case(3, SMALL, 750_000.0)]
fn documents_in_quick_succession_reach_all_and_leave_the_links_of_control_free(
    seed: u64,
    sites: [usize; 3],
    control_link: f64,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut play = Play::new(sites, control_link);
    // When each document was committed.
    let mut committed = vec![play.begin];
    let mut next = play.begin + Duration::from_millis(100);
    for step in 0..2400 {
        play.advance();
        let is_storm = play.now < play.begin + Duration::from_secs(8);
        if is_storm && play.now >= next {
            play.commit(u64::try_from(committed.len()).unwrap());
            committed.push(play.now);
            next = play.now + Duration::from_millis(random.random_range(200..1500));
        }
        play.answer_followers(step);
        let late = committed.iter().rposition(|at| *at + IN_FORCE < play.now).unwrap_or(0);
        let late = u64::try_from(late).unwrap();
        let behind = play.entries().filter(|entry| play.nodes[*entry].number < late).count();
        let second = (play.now - play.begin).as_secs_f64();
        assert_eq!(behind, 0, "{behind} instances without document {late} at second {second:.2}");
    }
    assert!(play.most_queued < MOST_QUEUED, "{:?} were queued", play.most_queued);
}

#[test]
fn control_instances_get_the_document_before_entry_instances() {
    let now = Instant::now();
    let mut outflow = Outflow::new(3.0);
    let name = |index: usize| format!("instance-{index}").parse::<Instance>().unwrap();
    for entry in 1..4 {
        outflow.ask(name(entry), false);
    }
    outflow.ask(name(0), true);
    outflow.ask(name(0), true);
    let mut order = Vec::new();
    let mut at = now;
    loop {
        match outflow.next(at, DOCUMENT) {
            Giving::Send(to) => order.push(to),
            Giving::Wait(until) => at = until,
            Giving::Done => break,
        }
    }
    assert_eq!(order, [0, 1, 2, 3].map(name));
}
