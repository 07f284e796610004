//! A small deployment of the project's program, with the settings of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{call, request};

const CALLERS: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const PEERS: u16 = 7340;
const UNUSED: u16 = 7355;
const METRICS: u16 = 9464;

/// Number of the first front machine in its network.
const FIRST_FRONT: u8 = 100;

/// API key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A machine, whose process may run or not.
pub struct Machine {
    pub ip: Ipv4Addr,
    folder: PathBuf,
    pub process: Option<Child>,
}

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.at(CALLERS)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let question = request("GET", "/v1/readiness", &[("Host", "ready")], "");
        call(self.at(READY), &question, Duration::from_secs(1)).is_ok_and(|it| it.status == 200)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("target/release/turmericrelay")
            .arg("platform")
            .env("TURMERICRELAY_BOOT", self.folder.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment in a temporary folder.
pub struct Fleet {
    pub network: (u8, u8),
    pub folder: PathBuf,
    pub controls: Vec<Machine>,
    pub fronts: Vec<Machine>,
}

impl Fleet {
    /// Starts a deployment of three zones.
    pub fn start(controls: u8, fronts: u8) -> std::io::Result<Self> {
        let network = free_network()?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self { network, folder, controls: Vec::new(), fronts: Vec::new() };
        let seeds: Vec<String> =
            (1..=controls.min(3)).map(|it| format!("\"{}:{CONTROL}\"", fleet.ip(it))).collect();
        for number in (1..=controls).chain((0..fronts).map(|it| FIRST_FRONT + it)) {
            let is_front = number >= FIRST_FRONT;
            let machine = Machine {
                ip: fleet.ip(number),
                folder: fleet.folder.join(number.to_string()),
                process: None,
            };
            write_settings(&machine, is_front, number, &seeds.join(","))?;
            if is_front { &mut fleet.fronts } else { &mut fleet.controls }.push(machine);
        }
        for machine in fleet.controls.iter_mut().chain(&mut fleet.fronts) {
            machine.start()?;
        }
        Ok(fleet)
    }

    /// Returns an address of the network of this deployment.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, number)
    }

    /// Returns the control addresses.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(Machine::control).collect()
    }

    /// Sends a desired state until it is acknowledged, and waits until all fronts are ready.
    pub fn configure(&self, document: &str) -> Result<(), String> {
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let order = request("PUT", "/v1/configuration", &fields, document);
        wait_for("the ack of the desired state", || {
            let mut answers = self.seeds().into_iter().map(|it| call(it, &order, secs(5)));
            answers.any(|it| it.is_ok_and(|it| it.status == 200))
        })?;
        wait_for("all fronts to be ready", || self.fronts.iter().all(Machine::is_ready))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.clear();
        self.controls.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Waits for at most 25 s.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + secs(25);
    while !is_met() {
        if Instant::now() > until {
            return Err(format!("waited in vain for {what}"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Returns a network of loopback addresses on whose first address all ports are free.
fn free_network() -> std::io::Result<(u8, u8)> {
    let start = std::process::id();
    for offset in 0..2000 {
        let number = (start + offset) % 50_000;
        let network = (1 + (number / 250) as u8, 1 + (number % 250) as u8);
        let ports = [CALLERS, READY, CONTROL, PEERS, UNUSED, METRICS];
        let is_free = [1, FIRST_FRONT].iter().all(|host| {
            let ip = Ipv4Addr::new(127, network.0, network.1, *host);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(std::io::Error::other("no free network of loopback addresses"))
}

/// Writes the settings that the template of the deploy file gives for a small deployment.
fn write_settings(
    machine: &Machine,
    is_front: bool,
    number: u8,
    seeds: &str,
) -> std::io::Result<()> {
    std::fs::create_dir_all(&machine.folder)?;
    let ip = machine.ip;
    let zone = ["cairo-a", "cairo-b", "cairo-c"][usize::from(number % 3)];
    let (role, callers, operators, ready, data) = match is_front {
        true => ("entry", CALLERS, UNUSED, format!("  ready: \"{ip}:{READY}\"\n"), String::new()),
        false => {
            let data = machine.folder.join("data");
            std::fs::create_dir_all(&data)?;
            let data = format!("data_folder: \"{}\"\n", data.display());
            ("control", UNUSED, CONTROL, String::new(), data)
        }
    };
    let memory = if is_front { 260 } else { 256 };
    let link = if is_front { "1000.0" } else { "6" };
    let text = format!(
        "instance: \"{ip}\"\ndata_centre: \"{zone}\"\nroles: [{role}]\nlisten:\n  \
         callers: \"{ip}:{callers}\"\n  operators: \"{ip}:{operators}\"\n  \
         peers: \"{ip}:{PEERS}\"\n{ready}  metrics: \"{ip}:{METRICS}\"\n{data}seeds: [{seeds}]\n\
         first_start: true\nlosses_borne: 1\n\
         fleet_secrets: [\"turmericrelay-on-a-closed-network\"]\nlimits:\n  memory: {memory}MiB\n  \
         connections: 2000\n  incoming: 64MiB\ntiming:\n  drain: \"8s\"\ndirect:\n  \
         load_bound: 2\n  repeat_ratio: 0.2\n  repeat_extra: 52\n  repeat_window: \"10s\"\n  \
         announce_period: \"1200ms\"\n  startup_wait: \"2s\"\n  link_megabits: {link}\n"
    );
    std::fs::write(machine.folder.join("settings.yaml"), text)
}

/// Returns a desired state with one route of each kind.
pub fn document() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, resumes: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":{timeout},\"objective-ms\":400,\"priority\":1,\
             \"service\":\"{service}\",\"attempts\":2,\"anonymous-access\":false,\
             \"session-affinity\":{},\"resume-streams\":{resumes},\"gap-target-ms\":250}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("caption", "streaming", "llm", 12_000, true),
        route("report", "streaming", "llm", 12_000, false),
        route("charge", "unsafe", "shop", 3000, false),
        route("gallery", "safe", "shop", 3000, false),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\"health-path\":\
         \"/health\",\"connection-limit\":610,\"protocol\":\"h1\",\"tls\":false,\"engine\":\
         {{\"slots\":64,\"cache-capacity-tokens\":849553}}}},{{\"name\":\"shop\",\"health-path\":\
         \"/health\",\"connection-limit\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":\
         {{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Returns the folder of a case.
pub fn case_folder(argument: Option<String>) -> PathBuf {
    Path::new(&argument.unwrap_or_else(|| ".".to_string())).to_path_buf()
}
