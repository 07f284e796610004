//! Tests that up to 300 instances that start at the same time and know three seeds find each other
//! without overloading the control instances.
//!
//! 295 entry instances in five data centres send requests to the seeds. The seeds are control
//! instances with links of 4.2 Mbit/s and 0.06 of a core, and also replicate a log. In the
//! benchmark runs scale-2 and quiet-1 of nasr-sky-large, sending full views to all entry instances
//! saturated the links and the cores for ten seconds, and no document was committed.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use membership::{Action, Detector, Member, Message};
use names::{Incarnation, Instance};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(50);
const DATA_CENTRES: usize = 5;
const CONTROLS: usize = 5;
const SEEDS: usize = 3;

/// Maximum bytes per second that a control instance may send: half of its link, since the rest is
/// for the log.
const MAX_BYTES_PER_SECOND: usize = 262_500;

/// Maximum messages per second that a control instance may handle: half of its core at 40
/// microseconds per message.
const MAX_MESSAGES_PER_SECOND: usize = 750;

/// Time from the start of the instances to the first callers.
const CALLERS_START: Duration = Duration::from_secs(14);

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        instance: format!("10.{}.64.{index}", index % DATA_CENTRES).parse().unwrap(),
        data_centre: format!("cairo-{}", index % DATA_CENTRES).parse().unwrap(),
        address: format!("10.{}.64.{}:7340", index % DATA_CENTRES, index % 250).parse().unwrap(),
        is_control: index < CONTROLS,
        incarnation: Incarnation(incarnation),
        is_draining: false,
    }
}

fn index_of(instance: &Instance) -> usize {
    instance.as_str().rsplit('.').next().unwrap().parse().unwrap()
}

struct InFlightMessage {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

/// Bytes sent and messages handled by a control instance in the current second, with the maximum
/// over all seconds.
#[derive(Default, Clone, Copy)]
struct Load {
    bytes: usize,
    messages: usize,
    max_bytes: usize,
    max_messages: usize,
}

struct Fleet {
    nodes: Vec<Detector>,
    in_flight: Vec<InFlightMessage>,
    loads: [Load; CONTROLS],
    now: Instant,
    random: Pcg64Mcg,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let now = Instant::now();
        let node = |index: usize| {
            let seeds = (0..SEEDS).filter(|other| *other != index);
            let seeds = seeds.map(|other| Member { is_control: false, ..member(other, 0) });
            Detector::new(now, member(index, 1), seeds.collect(), seed ^ index as u64)
        };
        Self {
            nodes: (0..size).map(node).collect(),
            in_flight: Vec::new(),
            loads: [Load::default(); CONTROLS],
            now,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let (Action::Send(to, message) | Action::SendReliably(to, message)) = action else {
                continue;
            };
            let to = index_of(&to);
            if let Some(load) = self.loads.get_mut(from) {
                load.bytes += postcard::to_allocvec(&message).unwrap().len();
                load.messages += 1;
            }
            if let Some(load) = self.loads.get_mut(to) {
                load.messages += 1;
            }
            let due = self.now + Duration::from_millis(self.random.random_range(1..20));
            self.in_flight.push(InFlightMessage { due, from, to, message });
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let due: Vec<InFlightMessage> =
            self.in_flight.extract_if(.., |message| message.due <= now).collect();
        for InFlightMessage { from, to, message, .. } in due {
            let actions = self.nodes[to].receive(now, &member(from, 0).instance, message);
            self.perform(to, actions);
        }
        for index in 0..self.nodes.len() {
            let actions = self.nodes[index].tick(now);
            self.perform(index, actions);
        }
    }

    fn run(&mut self, span: Duration) {
        let steps = span.as_millis() / TICK.as_millis();
        for step in 0..steps {
            self.step();
            if step % 20 == 19 {
                for load in &mut self.loads {
                    load.max_bytes = load.max_bytes.max(load.bytes);
                    load.max_messages = load.max_messages.max(load.messages);
                    (load.bytes, load.messages) = (0, 0);
                }
            }
        }
    }

    /// Returns the size of the smallest view of all instances, the instance itself included.
    fn smallest_view(&self) -> usize {
        self.nodes.iter().map(|node| node.members().count() + 1).min().unwrap()
    }
}

#[test_case(60, 1)]
#[test_case(300, 2)]
#[test_case(300, 3)]
fn all_instances_know_each_other_before_callers_start_without_overloading_control_instances(
    size: usize,
    seed: u64,
) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(CALLERS_START);
    assert_eq!(fleet.smallest_view(), size);
    for (index, load) in fleet.loads.iter().enumerate() {
        let Load { max_bytes, max_messages, .. } = load;
        assert!(
            *max_bytes <= MAX_BYTES_PER_SECOND,
            "control {index}: {max_bytes} bytes in a second"
        );
        assert!(
            *max_messages <= MAX_MESSAGES_PER_SECOND,
            "control {index}: {max_messages} messages"
        );
    }
}
