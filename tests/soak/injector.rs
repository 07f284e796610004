//! Injects overlapping faults from outside the processes, chosen by a seeded random number
//! generator.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::TestFleet;
use crate::recorder::Recorder;
use crate::support::Faults;
use crate::support::worker::{Behaviour, send_request};

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 700;

/// Longest duration of a fault.
const MAX_FAULT_MILLIS: u64 = 4000;

/// Time that a process has for a graceful shutdown before the injector waits for its exit.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);

/// Faulty behaviours of upstreams.
const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::BreakAfter(3),
    Behaviour::LoseAnswer,
    Behaviour::Refuse,
    Behaviour::Fail,
    Behaviour::Silent,
    Behaviour::Slow,
    Behaviour::Misdirect,
];

/// Action that ends a fault. The index is that of a process or of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Undo {
    Unfreeze(usize),
    Restart(usize),
    /// Waits until a process has shut down, and starts it again.
    RestartAfterShutdown(usize),
    RestoreLinks(usize),
    RestoreBehaviour(usize),
    RestoreUpstreamLink(usize),
    ReplaceUpstream(usize),
}

/// A fault that is undone at `until`.
struct ActiveFault {
    until: Instant,
    undo: Undo,
}

/// Injects faults into a fleet and undoes them.
pub struct Injector<'a> {
    random: Pcg64Mcg,
    fleet: &'a mut TestFleet,
    recorder: &'a Recorder,
    active_faults: Vec<ActiveFault>,
}

impl<'a> Injector<'a> {
    pub fn new(seed: u64, fleet: &'a mut TestFleet, recorder: &'a Recorder) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { random, fleet, recorder, active_faults: Vec::new() }
    }

    /// Injects faults for `duration`, then undoes them all.
    pub fn run(mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let pause = self.random.random_range(50..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
            self.undo_due(Instant::now());
            self.check_running();
            self.inject();
        }
        while let Some(last) = self.active_faults.iter().map(|fault| fault.until).max() {
            self.undo_due(last);
        }
        self.check_running();
    }

    /// Undoes all faults that end at `now` or before.
    fn undo_due(&mut self, now: Instant) {
        let due: Vec<ActiveFault> =
            self.active_faults.extract_if(.., |fault| fault.until <= now).collect();
        due.into_iter().for_each(|fault| self.undo(fault.undo));
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Unfreeze(process) => self.fleet.machine(process).process().signal("CONT"),
            Undo::Restart(process) => self.fleet.restart(process),
            Undo::RestartAfterShutdown(process) => self.finish_shutdown(process),
            Undo::RestoreLinks(process) => self.set_faults(process, &Faults::default()),
            Undo::RestoreUpstreamLink(index) => {
                self.fleet.upstreams[index].proxy.change(|faults| *faults = Faults::default());
            }
            Undo::RestoreBehaviour(index) => {
                if let Some(worker) = &self.fleet.upstreams[index].worker {
                    worker.set_behaviour(Behaviour::Answer);
                }
            }
            Undo::ReplaceUpstream(index) => self.fleet.replace(index),
        }
    }

    /// Checks that a process shuts down with exit code 0, and starts it again.
    fn finish_shutdown(&mut self, process: usize) {
        let code = self.fleet.machine(process).process().wait();
        self.recorder
            .check(code == Some(0), || format!("process {process} shut down with {code:?}"));
        self.fleet.restart(process);
    }

    /// Checks that every process runs that no fault has stopped, and restarts those that do not.
    fn check_running(&mut self) {
        for process in 0..self.fleet.process_count() {
            let is_expected_down = self.is_down(process);
            if !is_expected_down && self.fleet.machine(process).process().has_ended() {
                self.recorder.record_violation(format!("process {process} ended unexpectedly"));
                self.fleet.restart(process);
            }
        }
    }

    /// Returns whether a process is frozen, killed or shutting down.
    fn is_down(&self, process: usize) -> bool {
        let down =
            [Undo::Unfreeze(process), Undo::Restart(process), Undo::RestartAfterShutdown(process)];
        self.active_faults.iter().any(|fault| down.contains(&fault.undo))
    }

    /// Schedules the end of a fault after a random duration.
    fn schedule_undo(&mut self, undo: Undo) {
        let millis = self.random.random_range(100..MAX_FAULT_MILLIS);
        self.active_faults
            .push(ActiveFault { until: Instant::now() + Duration::from_millis(millis), undo });
    }

    /// Injects a random fault.
    fn inject(&mut self) {
        let process = self.random.random_range(0..self.fleet.process_count());
        let upstream = self.random.random_range(0..self.fleet.upstreams.len());
        match self.random.random_range(0..20) {
            0..3 => self.kill(process),
            3..5 => self.freeze(process),
            5..7 => self.shut_down(process),
            7 => self.lose_disk(),
            8 => self.crash_during_write(),
            9 => self.kill_all_control(),
            10..13 => self.impair_process_links(process),
            13 => self.reset_connections(process),
            14..16 => self.change_behaviour(upstream),
            16 => self.crash_upstream(upstream),
            17 => self.drain_upstream(upstream),
            _ => self.impair_upstream_link(upstream),
        }
    }

    fn kill(&mut self, process: usize) {
        if !self.is_down(process) {
            self.recorder.record_fault(format!("kill process {process}"));
            self.fleet.machine(process).kill();
            self.schedule_undo(Undo::Restart(process));
        }
    }

    fn freeze(&mut self, process: usize) {
        if !self.is_down(process) {
            self.recorder.record_fault(format!("freeze process {process}"));
            self.fleet.machine(process).process().signal("STOP");
            self.schedule_undo(Undo::Unfreeze(process));
        }
    }

    fn shut_down(&mut self, process: usize) {
        let metrics = self.fleet.machine(process).metrics();
        // A process that does not listen yet may not have installed its signal handlers.
        if !self.is_down(process) && TcpStream::connect(metrics).is_ok() {
            self.recorder.record_fault(format!("shut down process {process}"));
            self.fleet.machine(process).process().signal("TERM");
            let until = Instant::now() + SHUTDOWN_LIMIT;
            self.active_faults
                .push(ActiveFault { until, undo: Undo::RestartAfterShutdown(process) });
        }
    }

    /// Deletes the data of one control instance, if all control instances run and are voters. A
    /// second loss before the first is repaired is more than the fleet tolerates.
    fn lose_disk(&mut self) {
        let controls = self.fleet.machines.controls.len();
        let has_all_voters =
            (0..controls).all(|control| !self.is_down(control) && self.is_voter(control));
        if has_all_voters {
            let control = self.random.random_range(0..controls);
            self.recorder.record_fault(format!("lose the disk of process {control}"));
            self.fleet.machine(control).kill();
            self.fleet.machine(control).delete_data();
            self.fleet.restart(control);
        }
    }

    /// Returns whether a control instance reports that it is a voter.
    fn is_voter(&mut self, control: usize) -> bool {
        let metrics = self.fleet.machine(control).metrics();
        let page = send_request(metrics, "GET", "/metrics", &[], "");
        let is_voting = |line: &str| line == "turmericrelay_replica_is_voting 1";
        page.is_ok_and(|page| page.text().lines().any(is_voting))
    }

    /// Kills a control instance and appends a torn write after the synced part of its log.
    fn crash_during_write(&mut self) {
        let control = self.random.random_range(0..self.fleet.machines.controls.len());
        if self.is_down(control) {
            return;
        }
        self.recorder.record_fault(format!("kill process {control} during a write"));
        let torn: Vec<u8> = (0..self.random.random_range(1..600))
            .map(|_| self.random.random_range(0..=255))
            .collect();
        self.fleet.machine(control).kill();
        self.fleet.machine(control).append_torn_write(&torn);
        self.schedule_undo(Undo::Restart(control));
    }

    fn kill_all_control(&mut self) {
        let controls = self.fleet.machines.controls.len();
        if (0..controls).any(|control| self.is_down(control)) {
            return;
        }
        self.recorder.record_fault("kill all control processes".to_string());
        (0..controls).for_each(|control| self.fleet.machine(control).kill());
        std::thread::sleep(Duration::from_millis(self.random.random_range(0..800)));
        (0..controls).for_each(|control| self.fleet.restart(control));
    }

    fn random_faults(&mut self) -> Faults {
        let mut faults = Faults::default();
        match self.random.random_range(0..5) {
            0 => faults.is_cut = true,
            1 => faults.is_half_open = true,
            2 => faults.truncate_after = self.random.random_range(1..2000),
            3 => faults.bytes_per_second = self.random.random_range(2000..50_000),
            _ => {
                faults.delay = Duration::from_millis(self.random.random_range(1..150));
                faults.loss_percent = self.random.random_range(0..30);
                faults.duplicate_percent = self.random.random_range(0..30);
                faults.reorder_percent = self.random.random_range(0..30);
            }
        }
        faults
    }

    fn set_faults(&mut self, process: usize, faults: &Faults) {
        for proxy in &self.fleet.proxies[process] {
            proxy.change(|current| *current = faults.clone());
        }
    }

    fn impair_process_links(&mut self, process: usize) {
        let faults = self.random_faults();
        self.recorder.record_fault(format!("links to process {process}: {faults:?}"));
        self.set_faults(process, &faults);
        self.schedule_undo(Undo::RestoreLinks(process));
    }

    fn reset_connections(&mut self, process: usize) {
        self.recorder.record_fault(format!("reset connections to process {process}"));
        self.fleet.proxies[process].iter().for_each(|proxy| proxy.reset());
    }

    fn change_behaviour(&mut self, upstream: usize) {
        let behaviour = *BEHAVIOURS.choose(&mut self.random).unwrap();
        if let Some(worker) = &self.fleet.upstreams[upstream].worker {
            self.recorder.record_fault(format!("upstream {upstream}: {behaviour:?}"));
            worker.set_behaviour(behaviour);
            self.schedule_undo(Undo::RestoreBehaviour(upstream));
        }
    }

    fn crash_upstream(&mut self, upstream: usize) {
        self.recorder.record_fault(format!("crash upstream {upstream}"));
        self.fleet.crash(upstream);
        self.schedule_undo(Undo::ReplaceUpstream(upstream));
    }

    fn drain_upstream(&mut self, upstream: usize) {
        if let Some(worker) = &self.fleet.upstreams[upstream].worker {
            self.recorder.record_fault(format!("drain upstream {upstream}"));
            worker.drain();
            self.schedule_undo(Undo::ReplaceUpstream(upstream));
        }
    }

    fn impair_upstream_link(&mut self, upstream: usize) {
        let faults = self.random_faults();
        self.recorder.record_fault(format!("link to upstream {upstream}: {faults:?}"));
        self.fleet.upstreams[upstream].proxy.change(|current| *current = faults);
        self.schedule_undo(Undo::RestoreUpstreamLink(upstream));
    }
}
