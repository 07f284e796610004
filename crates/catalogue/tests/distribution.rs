//! Distribution of documents to a large fleet over the slow links of a few control instances.
//!
//! Documents of 30 KB are committed in quick succession for 71 entry instances in three data
//! centres. The tests guard against saturated links: when the first instances took longer than
//! expected, all others also fetched from the control instances. A megabyte was queued on links of
//! 3 Mbit/s, and the heartbeats behind it were delayed by seconds.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use catalogue::{Giving, Lack, Number, Outflow, turn};
use names::Instance;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);
const CONTROL_INSTANCES: usize = 6;

/// Number of entry instances in each data centre of a large fleet.
const LARGE_FLEET: [usize; 3] = [24, 22, 25];

/// Number of entry instances in each data centre of a small fleet, whose last two instances often
/// get documents late.
const SMALL_FLEET: [usize; 3] = [3, 1, 2];
const DOCUMENT_BYTES: usize = 30_000;

/// Link bandwidth of an entry instance, in bytes per second.
const ENTRY_BYTES_PER_SECOND: f64 = 1_250_000.0;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time from the commit of a document until all instances have it.
const MAX_DISTRIBUTION_TIME: Duration = Duration::from_millis(2500);

/// Maximum transmission time of the data queued on a link. Followers of the replicated log expect a
/// heartbeat of the leader within this time.
const MAX_QUEUED_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
enum Message {
    /// Announces the number of the newest document of the sender.
    Announcement(u64),
    /// Requests the newest document of the receiver.
    Fetch,
    /// Contains the document with the given number.
    Document(u64),
}

struct Node {
    name: Instance,
    data_centre: Option<usize>,
    /// Other instances of the same data centre.
    neighbours: Vec<usize>,
    number: u64,
    missing_document: Lack,
    send_queue: Outflow,
    /// Time of the fetch request that is not answered yet.
    fetched_at: Option<Instant>,
    /// Announcements to handle later: time, sender and number.
    deferred: Vec<(Instant, usize, u64)>,
    /// Time at which the link has transmitted all data sent so far.
    link_free_at: Instant,
}

struct Simulation {
    started_at: Instant,
    now: Instant,
    nodes: Vec<Node>,
    /// Messages in transit: arrival time, sender, receiver and message.
    in_transit: VecDeque<(Instant, usize, usize, Message)>,
    /// Longest transmission time of the data queued on the link of a control instance.
    longest_queue: Duration,
    /// Link bandwidth of a control instance, in bytes per second.
    control_bytes_per_second: f64,
}

impl Simulation {
    fn new(fleet: [usize; 3], control_bytes_per_second: f64) -> Self {
        let now = Instant::now();
        let mut data_centres: Vec<Option<usize>> = vec![None; CONTROL_INSTANCES];
        for (data_centre, count) in fleet.iter().enumerate() {
            data_centres.extend(std::iter::repeat_n(Some(data_centre), *count));
        }
        let create_node = |(index, data_centre): (usize, &Option<usize>)| Node {
            name: format!("instance-{index}").parse().unwrap(),
            data_centre: *data_centre,
            neighbours: (0..data_centres.len())
                .filter(|other| {
                    *other != index && data_centre.is_some() && data_centres[*other] == *data_centre
                })
                .collect(),
            number: 0,
            missing_document: Lack::default(),
            send_queue: Outflow::new(
                if data_centre.is_none() {
                    control_bytes_per_second
                } else {
                    ENTRY_BYTES_PER_SECOND
                } * 8.0
                    / 1e6,
            ),
            fetched_at: None,
            deferred: Vec::new(),
            link_free_at: now,
        };
        let nodes = data_centres.iter().enumerate().map(create_node).collect();
        Self {
            started_at: now,
            now,
            nodes,
            in_transit: VecDeque::new(),
            longest_queue: Duration::ZERO,
            control_bytes_per_second,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let node = &mut self.nodes[from];
        let (bytes, bytes_per_second) = match (message, node.data_centre) {
            (Message::Document(_), Some(_)) => (DOCUMENT_BYTES, ENTRY_BYTES_PER_SECOND),
            (Message::Document(_), None) => (DOCUMENT_BYTES, self.control_bytes_per_second),
            (_, Some(_)) => (100, ENTRY_BYTES_PER_SECOND),
            (_, None) => (100, self.control_bytes_per_second),
        };
        let transmission_time = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        node.link_free_at = node.link_free_at.max(self.now) + transmission_time;
        if node.data_centre.is_none() {
            self.longest_queue = self.longest_queue.max(node.link_free_at - self.now);
        }
        let arrives_at = node.link_free_at + Duration::from_millis(1);
        self.in_transit.push_back((arrives_at, from, to, message));
    }

    fn fetch_if_newer(&mut self, me: usize, sender: usize, number: u64) {
        let node = &mut self.nodes[me];
        if number <= node.number {
            return;
        }
        match node.fetched_at.map(|at| at + FETCH_TIMEOUT).filter(|until| self.now < *until) {
            Some(until) if node.neighbours.contains(&sender) => {
                node.deferred.push((until, sender, number));
            }
            Some(_) => {}
            None => {
                node.fetched_at = Some(self.now);
                self.send(me, sender, Message::Fetch);
            }
        }
    }

    fn receive(&mut self, sender: usize, me: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Announcement(number) if number > self.nodes[me].number => {
                let neighbours: Vec<Instance> = self.nodes[me]
                    .neighbours
                    .iter()
                    .map(|neighbour| self.nodes[*neighbour].name.clone())
                    .collect();
                let node = &mut self.nodes[me];
                let is_first_announcement = !node.missing_document.is_known();
                let due =
                    node.missing_document.note(now) + turn(&node.name, &neighbours, Number(number));
                if node.neighbours.contains(&sender) || due <= now {
                    self.fetch_if_newer(me, sender, number);
                } else if is_first_announcement {
                    node.deferred.push((due, sender, number));
                }
            }
            Message::Announcement(_) => {}
            Message::Fetch => {
                let name = self.nodes[sender].name.clone();
                let is_sender = self.nodes[sender].data_centre.is_none();
                self.nodes[me].send_queue.ask(name, is_sender);
                self.send_documents(me);
            }
            Message::Document(number) => {
                let node = &mut self.nodes[me];
                node.fetched_at = None;
                node.missing_document.end();
                if number <= node.number {
                    return;
                }
                node.number = number;
                if !node.neighbours.contains(&sender) {
                    for neighbour in node.neighbours.clone() {
                        self.send(me, neighbour, Message::Announcement(number));
                    }
                }
            }
        }
    }

    fn send_documents(&mut self, me: usize) {
        while let Giving::Send(to) = self.nodes[me].send_queue.next(self.now, DOCUMENT_BYTES) {
            let to = self.nodes.iter().position(|node| node.name == to).unwrap();
            let number = self.nodes[me].number;
            self.send(me, to, Message::Document(number));
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let mut due: Vec<_> =
            self.in_transit.iter().filter(|message| message.0 <= now).copied().collect();
        self.in_transit.retain(|message| message.0 > now);
        due.sort_by_key(|message| message.0);
        for (_, from, to, message) in due {
            self.receive(from, to, message);
        }
        for me in 0..self.nodes.len() {
            self.send_documents(me);
            let due: Vec<_> =
                self.nodes[me].deferred.extract_if(.., |deferred| deferred.0 <= now).collect();
            for (_, sender, number) in due {
                self.fetch_if_newer(me, sender, number);
            }
        }
    }

    fn entry_instances(&self) -> std::ops::Range<usize> {
        CONTROL_INSTANCES..self.nodes.len()
    }

    /// Sends the announcements of all control instances to the entry instances that poll in this
    /// step. The polls of the entry instances are staggered.
    fn answer_polls(&mut self, step: u32) {
        let period = u32::try_from(POLL_INTERVAL.as_millis() / STEP.as_millis()).unwrap();
        for entry in self.entry_instances() {
            if (step + u32::try_from(entry).unwrap() * 7).is_multiple_of(period) {
                for control in 0..CONTROL_INSTANCES {
                    let number = self.nodes[control].number;
                    if self.nodes[entry].number < number {
                        self.send(control, entry, Message::Announcement(number));
                    }
                }
            }
        }
    }

    /// Commits a document on all control instances, which announce it to the entry instances.
    fn commit(&mut self, number: u64) {
        for control in 0..CONTROL_INSTANCES {
            self.nodes[control].number = number;
            for entry in self.entry_instances() {
                self.send(control, entry, Message::Announcement(number));
            }
        }
    }
}

#[test_case(1, LARGE_FLEET, 375_000.0)]
#[test_case(2, LARGE_FLEET, 375_000.0)]
#[test_case(3, LARGE_FLEET, 375_000.0)]
#[test_case(4, LARGE_FLEET, 375_000.0)]
#[test_case(5, LARGE_FLEET, 375_000.0)]
#[test_case(1, SMALL_FLEET, 375_000.0)]
#[test_case(2, SMALL_FLEET, 375_000.0)]
#[test_case(3, SMALL_FLEET, 750_000.0)]
fn documents_in_quick_succession_reach_all_without_saturating_control_links(
    seed: u64,
    fleet: [usize; 3],
    control_bytes_per_second: f64,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut simulation = Simulation::new(fleet, control_bytes_per_second);
    // Commit time of each document, indexed by its number. Number 0 is the empty initial state.
    let mut commit_times = vec![simulation.started_at];
    let mut next_commit = simulation.started_at + Duration::from_millis(100);
    for step in 0..2400 {
        simulation.advance();
        let is_committing = simulation.now < simulation.started_at + Duration::from_secs(8);
        if is_committing && simulation.now >= next_commit {
            simulation.commit(u64::try_from(commit_times.len()).unwrap());
            commit_times.push(simulation.now);
            next_commit = simulation.now + Duration::from_millis(random.random_range(200..1500));
        }
        simulation.answer_polls(step);
        let due_index = commit_times
            .iter()
            .rposition(|at| *at + MAX_DISTRIBUTION_TIME < simulation.now)
            .unwrap_or(0);
        let due_number = u64::try_from(due_index).unwrap();
        let behind = simulation
            .entry_instances()
            .filter(|entry| simulation.nodes[*entry].number < due_number)
            .count();
        let seconds = (simulation.now - simulation.started_at).as_secs_f64();
        assert_eq!(
            behind, 0,
            "{behind} instances without document {due_number} after {seconds:.2} seconds"
        );
    }
    assert!(
        simulation.longest_queue < MAX_QUEUED_TIME,
        "queue of {:?} on a link",
        simulation.longest_queue
    );
}

#[test]
fn control_instances_get_the_document_before_entry_instances() {
    let now = Instant::now();
    let mut send_queue = Outflow::new(3.0);
    let name = |index: usize| format!("instance-{index}").parse::<Instance>().unwrap();
    for entry in 1..4 {
        send_queue.ask(name(entry), false);
    }
    send_queue.ask(name(0), true);
    send_queue.ask(name(0), true);
    let mut order = Vec::new();
    let mut at = now;
    loop {
        match send_queue.next(at, DOCUMENT_BYTES) {
            Giving::Send(to) => order.push(to),
            Giving::Wait(until) => at = until,
            Giving::Done => break,
        }
    }
    assert_eq!(order, [0, 1, 2, 3].map(name));
}
