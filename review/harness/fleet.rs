//! The system's own processes, started with the command of the deploy file and with settings as
//! `deploy/settings.yaml` renders them for a small deployment.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Answer};

pub const FRONT_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ZONES: [&str; 3] = ["obb-rosenheim", "obb-freising", "obb-weilheim"];

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    is_core: bool,
    folder: PathBuf,
    pub process: Option<Child>,
    program: PathBuf,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), CONTROL_PORT)
    }

    fn write_settings(&self, zone: &str, seeds: &[SocketAddr], bootstrap: bool) {
        let ip = self.ip;
        let role = if self.is_core { "control" } else { "entry" };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let callers = if self.is_core { 7355 } else { FRONT_PORT };
        let operators = if self.is_core { CONTROL_PORT } else { 7355 };
        let mut text = format!(
            "instance: \"{ip}\"\ndata_centre: \"{zone}\"\nroles: [{role}]\nlisten:\n  callers: \
             \"{ip}:{callers}\"\n  operators: \"{ip}:{operators}\"\n  peers: \"{ip}:7340\"\n"
        );
        if !self.is_core {
            text.push_str(&format!("  ready: \"{ip}:{READY_PORT}\"\n"));
        }
        text.push_str(&format!("  metrics: \"{ip}:9464\"\n"));
        if self.is_core {
            text.push_str(&format!("data_folder: \"{}\"\n", self.folder.join("data").display()));
        }
        let link = if self.is_core { "6.0" } else { "1000.0" };
        text.push_str(&format!(
            "seeds: [{}]\nfirst_start: {bootstrap}\nlosses_borne: 1\nfleet_secrets: \
             [\"turmericrelay-on-a-closed-network\"]\nlimits:\n  connections: 2000\n  incoming: \
             64MiB\ntiming:\n  drain: \"8s\"\ndirect:\n  load_bound: 2\n  repeat_ratio: 0.2\n  \
             repeat_extra: 52\n  repeat_window: \"10s\"\n  announce_period: \"1200ms\"\n  \
             link_megabits: {link}\n",
            seeds.join(", ")
        ));
        std::fs::write(self.folder.join("settings"), text).unwrap();
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new(&self.program)
            .arg("platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("TURMERICRELAY_BOOT", self.folder.join("settings"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.process = Some(child);
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of the process in megabytes (10^6 bytes).
    pub fn resident_mb(&self) -> f64 {
        let Some(child) = &self.process else {
            return 0.0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) * 1024.0 / 1e6
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip.into(), READY_PORT);
        let timeout = Duration::from_millis(500);
        http::call(address, "GET", "/v1/readiness", &[], b"", timeout)
            .is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Fleet {
    pub cores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    network: (u8, u8),
    pub folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a pair of octets whose addresses nobody listens at.
fn free_network() -> (u8, u8) {
    let process = std::process::id();
    (0..200)
        .map(|offset| (1 + (process % 250) as u8, 1 + ((process / 250 + offset) % 250) as u8))
        .find(|(b, c)| {
            let is_free = |d: u8, ports: &[u16]| {
                let ip = Ipv4Addr::new(127, *b, *c, d);
                ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            };
            let own = [7340, 7355, READY_PORT, FRONT_PORT, CONTROL_PORT, 9464];
            [1, 2, 3, 101, 102].into_iter().all(|d| is_free(d, &own))
                && (201..=210).all(|d| is_free(d, &[8080, 8081]))
        })
        .expect("no free loopback addresses")
}

impl Fleet {
    /// Starts three core machines and `fronts` front machines.
    pub fn start(repository: &Path, fronts: u8) -> Result<Self, String> {
        let program = repository.join("target/release/turmericrelay");
        if !program.exists() {
            return Err(format!("{} is not built", program.display()));
        }
        let network = free_network();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self { cores: Vec::new(), fronts: Vec::new(), network, folder };
        let numbers = (1..=3).chain(101..=100 + fronts);
        for number in numbers {
            let is_core = number < 100;
            let name = format!("{}-{number}", if is_core { "core" } else { "front" });
            let ip = fleet.ip(number);
            let folder = fleet.folder.join(&name);
            std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
            let program = program.clone();
            let machine = Machine { name, ip, is_core, folder, process: None, program };
            let list = if is_core { &mut fleet.cores } else { &mut fleet.fronts };
            list.push(machine);
        }
        let seeds = fleet.controls();
        for list in [&mut fleet.cores, &mut fleet.fronts] {
            for (index, machine) in list.iter_mut().enumerate() {
                machine.write_settings(ZONES[index % 3], &seeds, true);
                machine.start();
            }
        }
        // Later starts are no first ones.
        std::thread::sleep(Duration::from_millis(500));
        for list in [&fleet.cores, &fleet.fronts] {
            for (index, machine) in list.iter().enumerate() {
                machine.write_settings(ZONES[index % 3], &seeds, false);
            }
        }
        Ok(fleet)
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, number)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(Machine::control).collect()
    }

    /// Sends a desired state to the core machines in turn until one acknowledges it.
    pub fn put(&self, document: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            for machine in &self.cores {
                let answer = put_once(machine.control(), document);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return Ok(());
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Err("no acknowledgement of a desired state".into())
    }

    /// Waits until all fronts are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.fronts.iter().all(Machine::is_ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the fronts are not ready".into())
    }
}

pub fn put_once(address: SocketAddr, document: &str) -> std::io::Result<Answer> {
    let headers = [("Content-Type", "application/json".to_string())];
    let timeout = Duration::from_secs(5);
    http::call(address, "PUT", "/v1/configuration", &headers, document.as_bytes(), timeout)
}

/// A route with the names and figures of the pages.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, resumes: bool) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"path-prefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"objective-ms\":1200,\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":2,\"anonymous-access\":false,\
         \"session-affinity\":{},\"resume-streams\":{resumes},\"gap-target-ms\":200}}",
        kind == "streaming"
    )
}

/// A desired state with the given routes, engines and a plain service.
pub fn document(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\
         \"health-path\":\"/health\",\"connection-limit\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"cache-capacity-tokens\":802324,\"models\":[{{\"name\":\"m\"}}\
         ]}}}},{{\"name\":\"wuno96b\",\"health-path\":\"/health\",\"connection-limit\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":\
         4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\
         \"hule930\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
