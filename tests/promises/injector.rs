//! Faults of processes: entry instances that stop one after the other, processes that are held up,
//! control instances that crash, and upstreams that are held up, drain, end and return.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::TestFleet;

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 250;

/// Longest time for which a process is held up.
const MAX_HOLD_MILLIS: u64 = 3000;

/// Time after which a process that was told to stop is killed.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

/// What ends a fault. The index is that of an instance or of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Undo {
    /// Lets an entry instance go on.
    Continue(usize),
    RestartControl(usize),
    ReplaceUpstream(usize),
}

struct ActiveFault {
    until: Instant,
    undo: Undo,
}

/// An entry instance that was told to stop.
struct Stopping {
    entry: usize,
    kill_at: Instant,
}

pub struct Injector<'a> {
    random: Pcg64Mcg,
    fleet: &'a mut TestFleet,
    active_faults: Vec<ActiveFault>,
    stopping: Option<Stopping>,
    next_entry: usize,
}

impl<'a> Injector<'a> {
    pub fn new(seed: u64, fleet: &'a mut TestFleet) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { random, fleet, active_faults: Vec::new(), stopping: None, next_entry: 0 }
    }

    /// Injects faults for `duration`, then lets all held processes go on.
    pub fn run(mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            std::thread::sleep(self.millis(20, MAX_PAUSE_MILLIS));
            self.undo_due(Instant::now());
            self.restart_stopped();
            self.inject();
        }
        while let Some(last) = self.active_faults.iter().map(|fault| fault.until).max() {
            self.undo_due(last);
        }
        self.check_running();
    }

    /// Checks that every entry instance runs that was not told to stop.
    fn check_running(&mut self) {
        let stopping = self.stopping.as_ref().map(|stopping| stopping.entry);
        for entry in 0..self.fleet.machines.entries.len() {
            let is_expected_down = stopping == Some(entry);
            assert!(is_expected_down || !self.has_ended(entry), "entry instance {entry} ended");
        }
    }

    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..max))
    }

    fn undo_due(&mut self, now: Instant) {
        let due: Vec<ActiveFault> =
            self.active_faults.extract_if(.., |fault| fault.until <= now).collect();
        for fault in due {
            match fault.undo {
                Undo::Continue(entry) => {
                    if let Some(process) = &self.fleet.machines.entries[entry].process {
                        process.signal("CONT");
                    }
                }
                Undo::RestartControl(control) => self.fleet.restart_control(control),
                Undo::ReplaceUpstream(index) => {
                    let keeps_address = self.random.random_bool(0.5);
                    self.fleet.replace_upstream(index, keeps_address);
                }
            }
        }
    }

    /// Starts the entry instance that was told to stop again, once it has ended.
    fn restart_stopped(&mut self) {
        let Some(Stopping { entry, kill_at }) = self.stopping else {
            return;
        };
        let has_ended = self.fleet.machines.entries[entry].process().has_ended();
        if has_ended || (Instant::now() >= kill_at && !self.is_held(entry)) {
            self.fleet.restart_entry(entry);
            self.stopping = None;
        }
    }

    fn is_held(&self, entry: usize) -> bool {
        self.active_faults.iter().any(|fault| fault.undo == Undo::Continue(entry))
    }

    fn inject(&mut self) {
        match self.random.random_range(0..20) {
            0..8 => self.hold(),
            8..12 => self.stop_next(),
            12..14 => self.kill_control(),
            14..18 => self.drain_upstream(),
            18 => self.end_upstream(),
            _ => self.hold_upstream(),
        }
    }

    fn undo_after(&mut self, time: Duration, undo: Undo) {
        self.active_faults.push(ActiveFault { until: Instant::now() + time, undo });
    }

    /// Holds up an entry instance, mostly for a short time.
    fn hold(&mut self) {
        let entry = self.random.random_range(0..self.fleet.machines.entries.len());
        let is_running = self.fleet.machines.entries[entry].process.is_some();
        if !is_running || self.is_held(entry) || self.has_ended(entry) {
            return;
        }
        self.fleet.machines.entries[entry].process().signal("STOP");
        let longest = if self.random.random_bool(0.3) { MAX_HOLD_MILLIS } else { 500 };
        let time = self.millis(100, longest);
        self.undo_after(time, Undo::Continue(entry));
    }

    fn has_ended(&mut self, entry: usize) -> bool {
        self.fleet.machines.entries[entry].process().has_ended()
    }

    /// Tells the next entry instance to stop. Sometimes it is held up while the signal arrives.
    fn stop_next(&mut self) {
        let entry = self.next_entry;
        if self.stopping.is_some() || self.has_ended(entry) {
            return;
        }
        if self.random.random_bool(0.3) && !self.is_held(entry) {
            self.fleet.machines.entries[entry].process().signal("STOP");
            let time = self.millis(100, 1000);
            self.undo_after(time, Undo::Continue(entry));
        }
        self.fleet.machines.entries[entry].process().signal("TERM");
        self.stopping = Some(Stopping { entry, kill_at: Instant::now() + SHUTDOWN_LIMIT });
        self.next_entry = (entry + 1) % self.fleet.machines.entries.len();
    }

    /// Kills a control instance if all of them run.
    fn kill_control(&mut self) {
        let is_down = |fault: &ActiveFault| matches!(fault.undo, Undo::RestartControl(_));
        if self.active_faults.iter().any(is_down) {
            return;
        }
        let control = self.random.random_range(0..self.fleet.machines.controls.len());
        self.fleet.machines.controls[control].kill();
        let time = self.millis(100, 1500);
        self.undo_after(time, Undo::RestartControl(control));
    }

    fn drain_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if !self.is_replaced(index) {
            self.fleet.upstreams[index].drain();
            let time = self.millis(300, 2500);
            self.undo_after(time, Undo::ReplaceUpstream(index));
        }
    }

    /// Ends an upstream without a drain; another one takes its place later.
    fn end_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        if !self.is_replaced(index) {
            self.fleet.upstreams[index].end();
            let time = self.millis(100, 2000);
            self.undo_after(time, Undo::ReplaceUpstream(index));
        }
    }

    /// Holds up an upstream.
    fn hold_upstream(&mut self) {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        let time = self.millis(100, MAX_HOLD_MILLIS);
        self.fleet.upstreams[index].hold(Instant::now() + time);
    }

    fn is_replaced(&self, index: usize) -> bool {
        self.active_faults.iter().any(|fault| fault.undo == Undo::ReplaceUpstream(index))
    }
}
