//! Starts the project's processes with settings as the platform renders them from
//! `deploy/settings.yaml`, on loopback addresses of their own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const PEERS_PORT: u16 = 7340;
const OTHER_ROLE_PORT: u16 = 7355;
const METRICS_PORT: u16 = 9464;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Kill = 9,
    Continue = 18,
    Stop = 19,
}

/// Sends a signal to a process that this test started.
pub fn send_signal(process: u32, signal: Signal) {
    // SAFETY: `kill` takes plain numbers and touches no memory of this process.
    unsafe { kill(process as i32, signal as i32) };
}

/// What the platform knows of a deployment.
#[derive(Clone)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub fronts: usize,
    pub cores: usize,
    pub losses_borne: usize,
    pub repeat_extra: u32,
    pub front_memory: u32,
    pub front_link: f64,
    pub core_link: f64,
    /// Bounds `cold-excess` and `cold-slack`, where the deployment has them.
    pub cold: Option<(f64, f64)>,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: String,
    is_core: bool,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    pub fn front(&self) -> SocketAddr {
        self.address(FRONT_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(READY_PORT)
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }

    /// Returns the largest resident memory that the process has had.
    pub fn peak_memory(&self) -> String {
        let process = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.map_or("unknown".to_string(), |line| line[6..].trim().to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("target/release/turmericrelay")
            .arg("platform")
            .env_clear()
            .env("TURMERICRELAY_BOOT", self.folder.join("node.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn write_settings(&self, deployment: &Deployment, seeds: &[SocketAddr], is_first: bool) {
        let ip = self.ip;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (role, callers, operators, extra, memory, link) = match self.is_core {
            true => (
                "control",
                self.address(OTHER_ROLE_PORT),
                self.control(),
                format!("data_folder: \"{}\"\n", self.folder.join("data").display()),
                256,
                deployment.core_link,
            ),
            false => (
                "entry",
                self.front(),
                self.address(OTHER_ROLE_PORT),
                String::new(),
                deployment.front_memory,
                deployment.front_link,
            ),
        };
        let ready = match self.is_core {
            true => String::new(),
            false => format!("  ready: \"{}\"\n", self.ready()),
        };
        let cold = deployment.cold.map_or(String::new(), |(excess, slack)| {
            format!(
                "  cold_excess: {excess}\n  prompt_costs: always\n  fair_shares: true\n  \
                 cold_slack: {slack}\n"
            )
        });
        let text = format!(
            "instance: \"{ip}\"\ndata_centre: \"{}\"\nroles: [{role}]\nlisten:\n  callers: \
             \"{callers}\"\n  operators: \"{operators}\"\n  peers: \"{ip}:{PEERS_PORT}\"\n{ready}  \
             metrics: \"{ip}:{METRICS_PORT}\"\n{extra}seeds: [{}]\nfirst_start: {is_first}\n\
             losses_borne: {}\nfleet_secrets: [\"turmericrelay-on-a-closed-network\"]\nlimits:\n  \
             memory: {memory}MiB\n  connections: 2000\n  incoming: 64MiB\ntiming:\n  drain: \
             \"8s\"\ndirect:\n  load_bound: 2\n  repeat_ratio: 0.2\n  repeat_extra: {}\n  \
             repeat_window: \"10s\"\n  announce_period: \"1200ms\"\n  startup_wait: \"2s\"\n{cold}  \
             link_megabits: {link:?}\n",
            self.zone,
            seeds.join(","),
            deployment.losses_borne,
            deployment.repeat_extra,
        );
        if let Err(error) = std::fs::write(self.folder.join("node.conf"), text) {
            eprintln!("cannot write settings: {error}");
            std::process::exit(2);
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Number of tries to find a loopback network whose addresses are free.
const MAX_NETWORK_TRIES: u32 = 50;

pub struct Fleet {
    network: (u8, u8),
    pub deployment: Deployment,
    pub folder: PathBuf,
    pub cores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    record: Record,
}

impl Fleet {
    /// Starts all machines for the first time.
    pub fn start(deployment: Deployment, record: &Record) -> Self {
        let process = std::process::id();
        let network = (0..MAX_NETWORK_TRIES).map(|attempt| {
            let number = process.wrapping_mul(7).wrapping_add(attempt * 131);
            (1 + (number % 250) as u8, 1 + (number / 250 % 250) as u8)
        });
        let network = network.into_iter().find(|(high, low)| {
            let ports = [FRONT_PORT, CONTROL_PORT, PEERS_PORT, OTHER_ROLE_PORT, METRICS_PORT];
            ports.iter().all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, *high, *low, 1), *port)).is_ok()
            })
        });
        let Some(network) = network else {
            eprintln!("no free loopback network");
            std::process::exit(2);
        };
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        let mut fleet = Self {
            network,
            deployment: deployment.clone(),
            folder,
            cores: Vec::new(),
            fronts: Vec::new(),
            record: record.clone(),
        };
        for number in 0..deployment.cores {
            let machine = fleet.machine(1 + number, number, true);
            fleet.cores.push(machine);
        }
        for number in 0..deployment.fronts {
            let machine = fleet.machine(101 + number, number, false);
            fleet.fronts.push(machine);
        }
        let seeds = fleet.seeds();
        for machine in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
            machine.write_settings(&deployment, &seeds, true);
            if let Err(error) = machine.start() {
                eprintln!("cannot start a process: {error}");
                std::process::exit(2);
            }
        }
        fleet
    }

    fn machine(&self, number: usize, index: usize, is_core: bool) -> Machine {
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, number as u8);
        let folder = self.folder.join(number.to_string());
        if let Err(error) = std::fs::create_dir_all(&folder) {
            eprintln!("cannot create a folder: {error}");
            std::process::exit(2);
        }
        let zone = self.deployment.zones[index % self.deployment.zones.len()].clone();
        Machine { ip, zone, is_core, folder, child: None }
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.cores.iter().take(3).map(Machine::control).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(Machine::control).collect()
    }

    /// Returns the address of a worker.
    pub fn worker_address(&self, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, 180 + number as u8);
        SocketAddr::new(ip.into(), 8080)
    }

    /// Sends a desired state until it is acknowledged.
    pub fn put_document(&self, text: &str) {
        let headers = [("Content-Type", "application/json")];
        let until = Instant::now() + Duration::from_secs(15);
        let mut tries = 0;
        while Instant::now() < until {
            let control = self.cores[tries % self.cores.len()].control();
            tries += 1;
            let timeout = Duration::from_secs(2);
            let answer =
                call(control, "PUT", "/v1/configuration", &headers, text.as_bytes(), timeout);
            if answer.as_ref().is_ok_and(|answer| answer.head.status() == 200) {
                self.record.line(format!("desired state acknowledged by {control}"));
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        self.cannot_run("no desired state was acknowledged");
    }

    /// Waits until all fronts say that they are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        for front in &self.fronts {
            loop {
                let timeout = Duration::from_secs(1);
                let answer = call(front.ready(), "GET", "/v1/readiness", &[], b"", timeout);
                if answer.is_ok_and(|answer| answer.head.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    self.cannot_run("a front is not ready");
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("all fronts are ready");
    }

    /// Ends the case, because it cannot run.
    pub fn cannot_run(&self, reason: &str) -> ! {
        self.record.line(format!("the case cannot run: {reason}"));
        for machine in self.cores.iter().chain(&self.fronts) {
            machine.signal(Signal::Kill);
        }
        std::process::exit(2);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.kill();
        }
        remove(&self.folder);
    }
}

fn remove(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
}
