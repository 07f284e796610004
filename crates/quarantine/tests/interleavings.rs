//! Property tests: crashes, answers, restarts and messages in any order.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use quarantine::{Admission, Key, Record, Run, Suspects};

const INSTANCES: usize = 4;

/// Crashes every upstream that begins an answer to a request with it.
const BAD: Key = Key(1000);

/// Number of upstreams that must have crashed for a quarantine.
const QUARANTINE_CRASHES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An upstream crashes; each instance of the mask had requests with the key there.
    Crash {
        key: u64,
        seen_by: u8,
    },
    /// An answer gets past its beginning.
    Sound {
        instance: usize,
        key: u64,
    },
    /// An instance sends its changes to another one; the message may be lost or arrive twice.
    Send {
        from: usize,
        to: usize,
        copies: usize,
    },
    /// Two instances compare what they know.
    Compare {
        from: usize,
        to: usize,
    },
    Restart {
        instance: usize,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        // Key 0 stands for the bad key.
        4 => (0_u64..4, 1_u8..(1 << INSTANCES)).prop_map(|(key, seen_by)| Step::Crash { key, seen_by }),
        3 => (instance.clone(), 1_u64..4).prop_map(|(instance, key)| Step::Sound { instance, key }),
        6 => (instance.clone(), instance.clone(), 0_usize..3)
            .prop_map(|(from, to, copies)| Step::Send { from, to, copies }),
        1 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Compare { from, to }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
        3 => (1_u64..700).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn key(number: u64) -> Key {
    if number == 0 { BAD } else { Key(number) }
}

fn merge(suspects: &mut Suspects, now: Instant, records: &[Record]) {
    for record in records {
        suspects.merge(now, record);
    }
}

struct Model {
    now: Instant,
    instances: Vec<Suspects>,
    crashes: Vec<(Key, Instant)>,
    /// Answers past their beginning, with the instance that saw them.
    sound: Vec<(Key, Instant, usize)>,
    next_upstream: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            instances: vec![Suspects::default(); INSTANCES],
            crashes: Vec::new(),
            sound: Vec::new(),
            next_upstream: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        // Messages and answers take time.
        self.now += Duration::from_millis(1);
        let now = self.now;
        match *step {
            Step::Crash { key: number, seen_by } => {
                self.next_upstream += 1;
                let run = Run { upstream: self.next_upstream, born: 1 };
                for (index, suspects) in self.instances.iter_mut().enumerate() {
                    if seen_by & (1 << index) != 0 {
                        suspects.record_crash(now, run, now, &[key(number)]);
                    }
                }
                self.crashes.push((key(number), now));
            }
            Step::Sound { instance, key: number } => {
                self.instances[instance].record_sound(now, &[key(number)]);
                self.sound.push((key(number), now, instance));
            }
            Step::Send { from, to, copies } => {
                let records = self.instances[from].take_updates(now, 100);
                for _ in 0..copies {
                    merge(&mut self.instances[to], now, &records);
                }
            }
            Step::Compare { from, to } => self.compare(from, to),
            Step::Restart { instance } => {
                self.compare(instance, (instance + 1) % INSTANCES);
                self.instances[instance] = Suspects::default();
                // Answers that only this instance saw, before it knew of a crash, are forgotten.
                self.sound.retain(|(_, _, seen_by)| *seen_by != instance);
                self.compare(instance, (instance + 1) % INSTANCES);
            }
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
        }
    }

    fn compare(&mut self, from: usize, to: usize) {
        if self.instances[from].digest() != self.instances[to].digest() {
            let records = self.instances[from].records(self.now);
            merge(&mut self.instances[to], self.now, &records);
            let records = self.instances[to].records(self.now);
            merge(&mut self.instances[from], self.now, &records);
        }
    }

    /// Returns the number of crashes under `key` since an answer last got past its beginning.
    fn crashes_since_sound(&self, key: Key) -> usize {
        let sound = self.sound.iter().filter(|(other, ..)| *other == key);
        let sound = sound.map(|(_, at, _)| *at).max();
        let crashes = self.crashes.iter().filter(|(other, _)| *other == key);
        crashes.filter(|(_, at)| sound.is_none_or(|sound| *at > sound)).count()
    }

    fn is_quarantined(&self, instance: usize, key: Key) -> bool {
        self.instances[instance].check(self.now, &[key], |_| false) != Admission::Accept
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn after_all_have_compared_all_know_the_bad_part_and_agree(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.apply(step));
        for _ in 0..2 {
            for from in 0..INSTANCES {
                for to in 0..INSTANCES {
                    model.compare(from, to);
                }
            }
        }
        let is_bad = model.crashes_since_sound(BAD) >= QUARANTINE_CRASHES;
        for instance in 0..INSTANCES {
            prop_assert_eq!(model.is_quarantined(instance, BAD), is_bad, "instance {}", instance);
            prop_assert_eq!(model.instances[instance].digest(), model.instances[0].digest());
            for number in 1..4 {
                let crashes = model.crashes_since_sound(key(number));
                prop_assert!(
                    !model.is_quarantined(instance, key(number)) || crashes >= QUARANTINE_CRASHES,
                    "key {} was quarantined after {} crashes", number, crashes
                );
            }
        }
    }

    #[test]
    fn a_part_with_a_sound_answer_since_its_first_crash_is_released_where_that_is_known(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            if let Step::Sound { instance, key: number } = step {
                prop_assert!(!model.is_quarantined(*instance, key(*number)));
            }
        }
    }
}
