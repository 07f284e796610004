//! Injects faults into a running fleet, one after the other and on top of each other.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{Faults, Fleet};

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 1500;

/// Longest time that an instance stays frozen.
const MAX_FREEZE_MILLIS: u64 = 4000;

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
    Clear { from: usize, to: usize },
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
        for link in &self.fleet.links {
            link.proxy.change(|faults| *faults = Faults::default());
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Thaw(index) => self.fleet.instances[index].process.signal("CONT"),
            Undo::Restart(index) => self.fleet.restart(index),
            Undo::RestartUpstream(index) => self.fleet.restart_upstream(index),
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
            Undo::RestartUpstream(_) | Undo::Heal(_) | Undo::Clear { .. } => false,
        })
    }

    fn is_upstream_down(&self, index: usize) -> bool {
        let is_down =
            |fault: &Lasting| matches!(fault.undo, Undo::RestartUpstream(i) if i == index);
        self.lasting.iter().any(is_down)
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
        match self.random.random_range(0..9) {
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
            _ => self.disturb(index),
        }
    }

    /// Makes one link lossy, slow, or open in one direction only.
    fn disturb(&mut self, from: usize) {
        let instances = self.fleet.instances.len();
        let to = (from + self.random.random_range(1..instances)) % instances;
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
