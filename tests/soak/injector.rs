//! Faults from outside the processes, as the seed tells, one after the other and overlapping.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::stage::Stage;
use crate::support::Faults;
use crate::support::worker::{Behaviour, exchange};
use crate::verdicts::Verdicts;

/// Longest pause between two faults.
const MAX_PAUSE_MILLIS: u64 = 700;

/// Longest time that a fault lasts.
const MAX_LAST_MILLIS: u64 = 4000;

/// In which time a stopping process ends.
const GRACE: Duration = Duration::from_secs(8);

/// What upstreams do for a while.
const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::BreakAfter(3),
    Behaviour::LoseAnswer,
    Behaviour::Refuse,
    Behaviour::Fail,
    Behaviour::Silent,
    Behaviour::Slow,
    Behaviour::Misdirect,
];

/// How the end of a fault looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Undo {
    Thaw(usize),
    Restart(usize),
    /// Waits for the end of a process that was told to stop, and starts it again.
    Stopped(usize),
    Heal(usize),
    Behave(usize),
    HealUpstream(usize),
    Replace(usize),
}

struct Lasting {
    until: Instant,
    undo: Undo,
}

/// Injects faults.
pub struct Injector<'a> {
    random: Pcg64Mcg,
    stage: &'a mut Stage,
    verdicts: &'a Verdicts,
    lasting: Vec<Lasting>,
}

impl<'a> Injector<'a> {
    pub fn new(seed: u64, stage: &'a mut Stage, verdicts: &'a Verdicts) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { random, stage, verdicts, lasting: Vec::new() }
    }

    /// Injects faults for `duration`, then undoes them all.
    pub fn run(mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let pause = self.random.random_range(50..MAX_PAUSE_MILLIS);
            std::thread::sleep(Duration::from_millis(pause));
            self.undo_until(Instant::now());
            self.check_alive();
            self.inject();
        }
        while let Some(last) = self.lasting.iter().map(|one| one.until).max() {
            self.undo_until(last);
        }
        self.check_alive();
    }

    fn undo_until(&mut self, now: Instant) {
        let due: Vec<Lasting> = self.lasting.extract_if(.., |fault| fault.until <= now).collect();
        due.into_iter().for_each(|fault| self.undo(fault.undo));
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Thaw(process) => self.stage.machine(process).process().signal("CONT"),
            Undo::Restart(process) => self.stage.start_again(process),
            Undo::Stopped(process) => self.end_stop(process),
            Undo::Heal(process) => self.disturb(process, &Faults::default()),
            Undo::HealUpstream(index) => {
                self.stage.upstreams[index].proxy.change(|faults| *faults = Faults::default());
            }
            Undo::Behave(index) => {
                if let Some(worker) = &self.stage.upstreams[index].worker {
                    worker.behave(Behaviour::Answer);
                }
            }
            Undo::Replace(index) => self.stage.replace(index),
        }
    }

    fn end_stop(&mut self, process: usize) {
        let code = self.stage.machine(process).process().wait();
        self.verdicts.check(code == Some(0), || format!("process {process} stopped with {code:?}"));
        self.stage.start_again(process);
    }

    /// Checks that no process has ended by itself.
    fn check_alive(&mut self) {
        for process in 0..self.stage.processes() {
            let is_meant = self.is_down(process);
            if !is_meant && self.stage.machine(process).process().has_ended() {
                self.verdicts.broken(format!("process {process} ended by itself"));
                self.stage.start_again(process);
            }
        }
    }

    /// Whether a process does not run, or not for long.
    fn is_down(&self, process: usize) -> bool {
        let down = [Undo::Thaw(process), Undo::Restart(process), Undo::Stopped(process)];
        self.lasting.iter().any(|fault| down.contains(&fault.undo))
    }

    fn last(&mut self, undo: Undo) {
        let millis = self.random.random_range(100..MAX_LAST_MILLIS);
        self.lasting.push(Lasting { until: Instant::now() + Duration::from_millis(millis), undo });
    }

    fn inject(&mut self) {
        let process = self.random.random_range(0..self.stage.processes());
        let upstream = self.random.random_range(0..self.stage.upstreams.len());
        match self.random.random_range(0..20) {
            0..3 => self.kill(process),
            3..5 => self.freeze(process),
            5..7 => self.stop(process),
            7 => self.wipe(),
            8 => self.tear(),
            9 => self.kill_all_control(),
            10..13 => self.disturb_process(process),
            13 => self.reset(process),
            14..16 => self.misbehave(upstream),
            16 => self.replace(upstream),
            17 => self.drain(upstream),
            _ => self.disturb_upstream(upstream),
        }
    }

    fn kill(&mut self, process: usize) {
        if !self.is_down(process) {
            self.verdicts.fault(format!("kill process {process}"));
            self.stage.machine(process).kill();
            self.last(Undo::Restart(process));
        }
    }

    fn freeze(&mut self, process: usize) {
        if !self.is_down(process) {
            self.verdicts.fault(format!("freeze process {process}"));
            self.stage.machine(process).process().signal("STOP");
            self.last(Undo::Thaw(process));
        }
    }

    fn stop(&mut self, process: usize) {
        let metrics = self.stage.machine(process).metrics();
        // A process that does not listen yet may not have come to handle signals.
        if !self.is_down(process) && TcpStream::connect(metrics).is_ok() {
            self.verdicts.fault(format!("stop process {process}"));
            self.stage.machine(process).process().signal("TERM");
            let until = Instant::now() + GRACE;
            self.lasting.push(Lasting { until, undo: Undo::Stopped(process) });
        }
    }

    /// Loses the disk of one control instance, if no other loss is left to repair.
    fn wipe(&mut self) {
        let controls = self.stage.machines.controls.len();
        let is_whole = (0..controls).all(|control| !self.is_down(control) && self.votes(control));
        if is_whole {
            let control = self.random.random_range(0..controls);
            self.verdicts.fault(format!("lose the disk of process {control}"));
            self.stage.machine(control).kill();
            self.stage.machine(control).wipe();
            self.stage.start_again(control);
        }
    }

    fn votes(&mut self, control: usize) -> bool {
        let metrics = self.stage.machine(control).metrics();
        let page = exchange(metrics, "GET", "/metrics", &[], "");
        let is_voting = |line: &str| line == "turmericrelay_replica_is_voting 1";
        page.is_ok_and(|page| page.text().lines().any(is_voting))
    }

    /// Leaves a torn write behind the synced part of a control instance's log.
    fn tear(&mut self) {
        let control = self.random.random_range(0..self.stage.machines.controls.len());
        if self.is_down(control) {
            return;
        }
        self.verdicts.fault(format!("kill process {control} within a write"));
        let torn: Vec<u8> = (0..self.random.random_range(1..600))
            .map(|_| self.random.random_range(0..=255))
            .collect();
        self.stage.machine(control).kill();
        self.stage.machine(control).tear_log(&torn);
        self.last(Undo::Restart(control));
    }

    fn kill_all_control(&mut self) {
        let controls = self.stage.machines.controls.len();
        if (0..controls).any(|control| self.is_down(control)) {
            return;
        }
        self.verdicts.fault("kill all control processes".to_string());
        (0..controls).for_each(|control| self.stage.machine(control).kill());
        std::thread::sleep(Duration::from_millis(self.random.random_range(0..800)));
        (0..controls).for_each(|control| self.stage.start_again(control));
    }

    fn faults(&mut self) -> Faults {
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

    fn disturb(&mut self, process: usize, faults: &Faults) {
        for proxy in &self.stage.proxies[process] {
            proxy.change(|current| *current = faults.clone());
        }
    }

    fn disturb_process(&mut self, process: usize) {
        let faults = self.faults();
        self.verdicts.fault(format!("ways to process {process}: {faults:?}"));
        self.disturb(process, &faults);
        self.last(Undo::Heal(process));
    }

    fn reset(&mut self, process: usize) {
        self.verdicts.fault(format!("reset connections to process {process}"));
        self.stage.proxies[process].iter().for_each(|proxy| proxy.reset());
    }

    fn misbehave(&mut self, upstream: usize) {
        let behaviour = *BEHAVIOURS.choose(&mut self.random).unwrap();
        if let Some(worker) = &self.stage.upstreams[upstream].worker {
            self.verdicts.fault(format!("upstream {upstream}: {behaviour:?}"));
            worker.behave(behaviour);
            self.last(Undo::Behave(upstream));
        }
    }

    fn replace(&mut self, upstream: usize) {
        self.verdicts.fault(format!("crash upstream {upstream}"));
        self.stage.crash(upstream);
        self.last(Undo::Replace(upstream));
    }

    fn drain(&mut self, upstream: usize) {
        if let Some(worker) = &self.stage.upstreams[upstream].worker {
            self.verdicts.fault(format!("drain upstream {upstream}"));
            worker.drain();
            self.last(Undo::Replace(upstream));
        }
    }

    fn disturb_upstream(&mut self, upstream: usize) {
        let faults = self.faults();
        self.verdicts.fault(format!("ways to upstream {upstream}: {faults:?}"));
        self.stage.upstreams[upstream].proxy.change(|current| *current = faults);
        self.last(Undo::HealUpstream(upstream));
    }
}
