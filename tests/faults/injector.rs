//! Injects faults into a running fleet, one after the other and on top of each other.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{Faults, Fleet};

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 1500;

/// Longest time that an instance stays frozen.
const MAX_FREEZE_MILLIS: u64 = 4000;

/// Longest time that a link is cut one way.
const MAX_ONE_WAY_MILLIS: u64 = 6000;

/// How often a flapping upstream starts again after the first time, and the least time between.
const FLAPS: u32 = 4;
const FLAP_PERIOD: Duration = Duration::from_millis(800);

/// A fault that is undone at its deadline.
struct Lasting {
    until: Instant,
    undo: Undo,
}

enum Undo {
    Thaw(usize),
    Restart(usize),
    RestartUpstream(usize),
    Heal(Vec<usize>),
    ThawUpstream(usize),
    Clear {
        from: usize,
        to: usize,
    },
    /// Ends and starts an upstream again, so many more times.
    Flap {
        upstream: usize,
        times: u32,
    },
}

/// Injects faults as its seed tells.
pub struct Injector<'a> {
    random: Pcg64Mcg,
    fleet: &'a mut Fleet,
    lasting: Vec<Lasting>,
}

impl<'a> Injector<'a> {
    pub fn new(seed: u64, fleet: &'a mut Fleet) -> Self {
        Self { random: Pcg64Mcg::seed_from_u64(seed), fleet, lasting: Vec::new() }
    }

    /// Injects faults for `duration`, then undoes them all.
    pub fn run(mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let pause = self.random.random_range(100..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
            self.undo_until(Instant::now());
            self.inject();
        }
        self.undo_all();
    }

    fn undo_until(&mut self, now: Instant) {
        let due: Vec<Lasting> = self.lasting.extract_if(.., |fault| fault.until <= now).collect();
        due.into_iter().for_each(|fault| self.undo(fault.undo));
    }

    fn undo_all(&mut self) {
        let all = std::mem::take(&mut self.lasting);
        all.into_iter().for_each(|fault| self.undo(fault.undo));
        self.lasting.clear();
        for link in &self.fleet.links {
            link.proxy.change(|faults| *faults = Faults::default());
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Thaw(index) => self.fleet.instances[index].process.signal("CONT"),
            Undo::Restart(index) => self.fleet.restart(index),
            Undo::RestartUpstream(index) => self.fleet.restart_upstream(index),
            Undo::ThawUpstream(index) => self.fleet.upstreams[index].process.signal("CONT"),
            Undo::Flap { upstream, times } => self.flap(upstream, times),
            Undo::Heal(group) => self.fleet.set_cut(&group, false),
            Undo::Clear { from, to } => {
                self.fleet.link(from, to).change(|faults| *faults = Faults::default());
            }
        }
    }

    fn last(&mut self, max_millis: u64, undo: Undo) {
        let millis = self.random.random_range(200..max_millis);
        self.lasting.push(Lasting { until: Instant::now() + Duration::from_millis(millis), undo });
    }

    fn is_down(&self, index: usize) -> bool {
        self.lasting.iter().any(|fault| match fault.undo {
            Undo::Thaw(other) | Undo::Restart(other) => other == index,
            Undo::RestartUpstream(_)
            | Undo::ThawUpstream(_)
            | Undo::Heal(_)
            | Undo::Clear { .. }
            | Undo::Flap { .. } => false,
        })
    }

    fn is_upstream_down(&self, index: usize) -> bool {
        self.lasting.iter().any(|fault| match fault.undo {
            Undo::RestartUpstream(other) | Undo::ThawUpstream(other) => other == index,
            Undo::Flap { upstream, .. } => upstream == index,
            _ => false,
        })
    }

    /// Freezes an upstream, which keeps its connections open and says nothing.
    fn freeze_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(index) {
            return;
        }
        println!("freeze upstream {}", self.fleet.upstreams[index].name);
        self.fleet.upstreams[index].process.signal("STOP");
        self.last(MAX_FREEZE_MILLIS, Undo::ThawUpstream(index));
    }

    /// Makes an upstream come and go.
    fn begin_flapping(&mut self) {
        let upstream = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(upstream) {
            return;
        }
        println!("flap upstream {}", self.fleet.upstreams[upstream].name);
        self.flap(upstream, FLAPS);
    }

    fn flap(&mut self, upstream: usize, times: u32) {
        self.fleet.restart_upstream(upstream);
        if times > 0 {
            let until = Instant::now() + FLAP_PERIOD;
            self.lasting.push(Lasting { until, undo: Undo::Flap { upstream, times: times - 1 } });
        }
    }

    /// Kills an upstream, or asks it to leave.
    fn end_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(index) {
            return;
        }
        let signal = if self.random.random_range(0..2) == 0 { "KILL" } else { "TERM" };
        let upstream = &self.fleet.upstreams[index];
        println!("{signal} upstream {}", upstream.name);
        upstream.process.signal(signal);
        self.last(3000, Undo::RestartUpstream(index));
    }

    fn inject(&mut self) {
        let instances = self.fleet.instances.len();
        let index = self.random.random_range(0..instances);
        match self.random.random_range(0..12) {
            0 if !self.is_down(index) => {
                println!("kill instance {index}");
                self.fleet.kill(index);
                self.last(2000, Undo::Restart(index));
            }
            1 if !self.is_down(index) => {
                println!("freeze instance {index}");
                self.fleet.instances[index].process.signal("STOP");
                self.last(MAX_FREEZE_MILLIS, Undo::Thaw(index));
            }
            2 => {
                let group = vec![index / 2 * 2, index / 2 * 2 + 1];
                println!("cut data centre of instances {group:?}");
                self.fleet.set_cut(&group, true);
                self.last(4000, Undo::Heal(group));
            }
            3 => {
                println!("cut instance {index}");
                self.fleet.set_cut(&[index], true);
                self.last(4000, Undo::Heal(vec![index]));
            }
            4 => {
                println!("reset all connections");
                self.fleet.links.iter().for_each(|link| link.proxy.reset());
            }
            5 | 6 => self.end_upstream(),
            7 => self.freeze_upstream(),
            8 => self.begin_flapping(),
            9 => self.cut_one_way(index),
            _ => self.disturb(index),
        }
    }

    /// Cuts one link; the way back stays open.
    fn cut_one_way(&mut self, from: usize) {
        let to = self.other_instance(from);
        println!("cut link {from} to {to}");
        self.fleet.link(from, to).change(|faults| faults.is_cut = true);
        self.last(MAX_ONE_WAY_MILLIS, Undo::Clear { from, to });
    }

    fn other_instance(&mut self, from: usize) -> usize {
        let instances = self.fleet.instances.len();
        (from + self.random.random_range(1..instances)) % instances
    }

    /// Makes one link lossy, slow, or open in one direction only.
    fn disturb(&mut self, from: usize) {
        let to = self.other_instance(from);
        let faults = Faults {
            is_half_open: self.random.random_range(0..4) == 0,
            delay: Duration::from_millis(self.random.random_range(0..100)),
            loss_percent: self.random.random_range(0..30),
            duplicate_percent: self.random.random_range(0..30),
            reorder_percent: self.random.random_range(0..30),
            ..Faults::default()
        };
        println!("disturb link {from} to {to}: {faults:?}");
        self.fleet.link(from, to).change(|current| *current = faults);
        self.last(4000, Undo::Clear { from, to });
    }
}
