//! Injects overlapping faults into a running fleet, chosen by a seeded random number generator.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{Faults, Fleet};

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 1500;

/// Longest time that an instance or an upstream stays frozen.
const MAX_FREEZE_MILLIS: u64 = 4000;

/// Longest time that a link is cut in one direction.
const MAX_ONE_WAY_MILLIS: u64 = 6000;

/// Number of restarts of a flapping upstream after the first one.
const FLAP_RESTARTS: u32 = 4;

/// Shortest interval between restarts of a flapping upstream.
const FLAP_INTERVAL: Duration = Duration::from_millis(800);

/// A fault that is undone at `until`.
struct ActiveFault {
    until: Instant,
    undo: Undo,
}

/// Action that ends a fault or continues it.
enum Undo {
    Unfreeze(usize),
    Restart(usize),
    RestartUpstream(usize),
    RestoreGroupLinks(Vec<usize>),
    UnfreezeUpstream(usize),
    RestoreLink {
        from: usize,
        to: usize,
    },
    /// Restarts an upstream, and then again as many times as `remaining` says.
    Flap {
        upstream: usize,
        remaining: u32,
    },
}

/// Injects faults into a fleet and undoes them.
pub struct Injector<'a> {
    random: Pcg64Mcg,
    fleet: &'a mut Fleet,
    active_faults: Vec<ActiveFault>,
}

impl<'a> Injector<'a> {
    pub fn new(seed: u64, fleet: &'a mut Fleet) -> Self {
        Self { random: Pcg64Mcg::seed_from_u64(seed), fleet, active_faults: Vec::new() }
    }

    /// Injects faults for `duration`, then undoes them all.
    pub fn run(mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let pause = self.random.random_range(100..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
            self.undo_due(Instant::now());
            self.inject();
        }
        self.undo_all();
    }

    /// Undoes all faults that end at `now` or before.
    fn undo_due(&mut self, now: Instant) {
        let due: Vec<ActiveFault> =
            self.active_faults.extract_if(.., |fault| fault.until <= now).collect();
        due.into_iter().for_each(|fault| self.undo(fault.undo));
    }

    fn undo_all(&mut self) {
        let all = std::mem::take(&mut self.active_faults);
        all.into_iter().for_each(|fault| self.undo(fault.undo));
        self.active_faults.clear();
        for link in &self.fleet.links {
            link.proxy.change(|faults| *faults = Faults::default());
        }
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Unfreeze(index) => self.fleet.instances[index].process.signal("CONT"),
            Undo::Restart(index) => self.fleet.restart(index),
            Undo::RestartUpstream(index) => self.fleet.restart_upstream(index),
            Undo::UnfreezeUpstream(index) => self.fleet.upstreams[index].process.signal("CONT"),
            Undo::Flap { upstream, remaining } => self.flap(upstream, remaining),
            Undo::RestoreGroupLinks(group) => self.fleet.set_partition(&group, false),
            Undo::RestoreLink { from, to } => {
                self.fleet.link(from, to).change(|faults| *faults = Faults::default());
            }
        }
    }

    /// Schedules the end of a fault after a random duration of at most `max_millis`.
    fn schedule_undo(&mut self, max_millis: u64, undo: Undo) {
        let millis = self.random.random_range(200..max_millis);
        self.active_faults
            .push(ActiveFault { until: Instant::now() + Duration::from_millis(millis), undo });
    }

    /// Returns whether an instance is frozen or killed.
    fn is_down(&self, index: usize) -> bool {
        self.active_faults.iter().any(|fault| match fault.undo {
            Undo::Unfreeze(other) | Undo::Restart(other) => other == index,
            Undo::RestartUpstream(_)
            | Undo::UnfreezeUpstream(_)
            | Undo::RestoreGroupLinks(_)
            | Undo::RestoreLink { .. }
            | Undo::Flap { .. } => false,
        })
    }

    /// Returns whether an upstream is frozen, stopped or flapping.
    fn is_upstream_down(&self, index: usize) -> bool {
        self.active_faults.iter().any(|fault| match fault.undo {
            Undo::RestartUpstream(other) | Undo::UnfreezeUpstream(other) => other == index,
            Undo::Flap { upstream, .. } => upstream == index,
            _ => false,
        })
    }

    /// Freezes an upstream, which keeps its connections open and sends nothing.
    fn freeze_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(index) {
            return;
        }
        println!("freeze upstream {}", self.fleet.upstreams[index].name);
        self.fleet.upstreams[index].process.signal("STOP");
        self.schedule_undo(MAX_FREEZE_MILLIS, Undo::UnfreezeUpstream(index));
    }

    /// Makes an upstream flap: it restarts several times in a row.
    fn start_flapping(&mut self) {
        let upstream = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(upstream) {
            return;
        }
        println!("flap upstream {}", self.fleet.upstreams[upstream].name);
        self.flap(upstream, FLAP_RESTARTS);
    }

    /// Restarts an upstream and schedules the next restart if any remain.
    fn flap(&mut self, upstream: usize, remaining: u32) {
        self.fleet.restart_upstream(upstream);
        if remaining > 0 {
            let until = Instant::now() + FLAP_INTERVAL;
            self.active_faults.push(ActiveFault {
                until,
                undo: Undo::Flap { upstream, remaining: remaining - 1 },
            });
        }
    }

    /// Kills an upstream, or requests its graceful shutdown.
    fn stop_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if self.is_upstream_down(index) {
            return;
        }
        let signal = if self.random.random_range(0..2) == 0 { "KILL" } else { "TERM" };
        let upstream = &self.fleet.upstreams[index];
        println!("{signal} upstream {}", upstream.name);
        upstream.process.signal(signal);
        self.schedule_undo(3000, Undo::RestartUpstream(index));
    }

    /// Injects a random fault.
    fn inject(&mut self) {
        let instances = self.fleet.instances.len();
        let index = self.random.random_range(0..instances);
        match self.random.random_range(0..12) {
            0 if !self.is_down(index) => {
                println!("kill instance {index}");
                self.fleet.kill(index);
                self.schedule_undo(2000, Undo::Restart(index));
            }
            1 if !self.is_down(index) => {
                println!("freeze instance {index}");
                self.fleet.instances[index].process.signal("STOP");
                self.schedule_undo(MAX_FREEZE_MILLIS, Undo::Unfreeze(index));
            }
            2 => {
                let group = vec![index / 2 * 2, index / 2 * 2 + 1];
                println!("cut data centre of instances {group:?}");
                self.fleet.set_partition(&group, true);
                self.schedule_undo(4000, Undo::RestoreGroupLinks(group));
            }
            3 => {
                println!("cut instance {index}");
                self.fleet.set_partition(&[index], true);
                self.schedule_undo(4000, Undo::RestoreGroupLinks(vec![index]));
            }
            4 => {
                println!("reset all connections");
                self.fleet.links.iter().for_each(|link| link.proxy.reset());
            }
            5 | 6 => self.stop_upstream(),
            7 => self.freeze_upstream(),
            8 => self.start_flapping(),
            9 => self.cut_one_way(index),
            _ => self.impair_link(index),
        }
    }

    /// Cuts one link; the opposite direction stays open.
    fn cut_one_way(&mut self, from: usize) {
        let to = self.other_instance(from);
        println!("cut link {from} to {to}");
        self.fleet.link(from, to).change(|faults| faults.is_cut = true);
        self.schedule_undo(MAX_ONE_WAY_MILLIS, Undo::RestoreLink { from, to });
    }

    /// Returns the index of a random instance other than `from`.
    fn other_instance(&mut self, from: usize) -> usize {
        let instances = self.fleet.instances.len();
        (from + self.random.random_range(1..instances)) % instances
    }

    /// Adds delay and the loss, duplication and reordering of datagrams to one link, and in one of
    /// four cases also withholds the data that returns on it.
    fn impair_link(&mut self, from: usize) {
        let to = self.other_instance(from);
        let faults = Faults {
            is_half_open: self.random.random_range(0..4) == 0,
            delay: Duration::from_millis(self.random.random_range(0..100)),
            loss_percent: self.random.random_range(0..30),
            duplicate_percent: self.random.random_range(0..30),
            reorder_percent: self.random.random_range(0..30),
            ..Faults::default()
        };
        println!("impair link {from} to {to}: {faults:?}");
        self.fleet.link(from, to).change(|current| *current = faults);
        self.schedule_undo(4000, Undo::RestoreLink { from, to });
    }
}
