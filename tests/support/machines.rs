//! Fleets as on the users' platform: instances discover each other from seeds alone, every process
//! has its own IP address, and all processes use the same ports.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::process::{Process, wait_for};
use super::proxy::Proxy;
use super::worker::{HttpResponse, send_request, send_request_with_timeout};

const CALLERS_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const PEERS_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

/// Offset of the last octet of the address at which an instance behind proxies listens from that of
/// its advertised address.
const LISTEN_IP_OFFSET: u8 = 50;

/// Interval at which the upstreams of the tests announce themselves, in milliseconds.
const ANNOUNCE_PERIOD_MILLIS: u64 = 300;

/// Default value of `timing.drain` in the tests, in seconds.
const DRAIN_SECONDS: u64 = 8;

/// Lowest number of an entry instance; instances with the control role have lower numbers.
const FIRST_ENTRY_NUMBER: u8 = 100;

/// API key of the client account in [`document`].
pub const KEY: &str = "key-of-the-family";

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// An instance with its own IP address; its process may run or not.
pub struct Machine {
    /// Name of the instance, and the address at which others reach it.
    pub ip: Ipv4Addr,
    /// Address at which the process listens: `ip`, or an address that only its proxies use.
    listen_ip: Ipv4Addr,
    is_control: bool,
    pub data_centre: String,
    /// Interval in milliseconds at which the instance expects announcements of upstreams.
    pub announce_period_millis: u64,
    /// Value of `direct.upstream_bytes`, if it is not the default.
    pub upstream_bytes: Option<&'static str>,
    /// Number of lost disks that the instance has to survive.
    pub losses_borne: usize,
    /// Value of `timing.drain` in seconds: the time between SIGTERM and SIGKILL.
    pub drain_seconds: u64,
    /// Bounds on the requests to cold upstreams: excess and slack.
    pub cold_bounds: Option<(f64, f64)>,
    /// Time in milliseconds after the start within which requests wait until the instance is ready.
    pub startup_wait_millis: u64,
    /// Lines that are appended to the settings file.
    pub extra_settings: String,
    folder: PathBuf,
    pub process: Option<Process>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    fn listen_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen_ip.into(), port)
    }

    /// Moves the listening address behind proxies, which take over the advertised addresses for
    /// callers, control and peers. Takes effect once the settings file is written again.
    pub fn listen_behind_proxies(&mut self) -> Vec<Proxy> {
        let [a, b, c, number] = self.ip.octets();
        self.listen_ip = Ipv4Addr::new(a, b, c, number + LISTEN_IP_OFFSET);
        let ports = [CALLERS_PORT, CONTROL_PORT, PEERS_PORT].into_iter();
        ports.map(|port| Proxy::start_at(self.address(port), self.listen_address(port))).collect()
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(CALLERS_PORT)
    }

    /// Returns the address for callers that avoids proxies.
    pub fn direct_callers(&self) -> SocketAddr {
        self.listen_address(CALLERS_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL_PORT)
    }

    pub fn metrics(&self) -> SocketAddr {
        self.listen_address(METRICS_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.listen_address(READY_PORT)
    }

    pub fn is_ready(&self) -> bool {
        send_request(self.listen_address(READY_PORT), "GET", "/v1/readiness", &[], "")
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn settings(&self) -> PathBuf {
        self.folder.join("settings.yaml")
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log()).unwrap_or_default()
    }

    /// Returns the log lines that report `event`.
    pub fn events(&self, event: &str) -> Vec<Value> {
        let lines = self.log_text();
        let lines = lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["event"] == event).collect()
    }

    /// Returns the running process; panics if there is none.
    pub fn process(&mut self) -> &mut Process {
        self.process.as_mut().unwrap()
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Deletes the data folder, as a lost disk does.
    pub fn delete_data(&self) {
        std::fs::remove_dir_all(self.data_folder()).unwrap();
    }

    /// Appends `torn_write` to the newest segment of the replicated log, as an unsynced write may
    /// leave it after a crash.
    pub fn append_torn_write(&self, torn_write: &[u8]) {
        let files = std::fs::read_dir(self.folder.join("data")).unwrap();
        let paths = files.map(|file| file.unwrap().path());
        let segments =
            paths.filter(|path| path.file_name().unwrap().to_string_lossy().starts_with("log-"));
        if let Some(newest) = segments.max() {
            File::options().append(true).open(newest).unwrap().write_all(torn_write).unwrap();
        }
    }

    pub fn start(&mut self) {
        let variable = ("TURMERICRELAY_BOOT", self.settings());
        let variable = (variable.0, variable.1.as_path());
        self.process = Some(Process::start_with_variable(&["platform"], variable, self.log()));
    }

    /// Starts the process with a standard output pipe that the test never reads.
    pub fn start_with_unread_output(&mut self) {
        let path = self.settings();
        let variable = ("TURMERICRELAY_BOOT", path.as_path());
        self.process = Some(Process::start_unread(&["platform"], variable, self.log()));
    }

    /// Writes the settings file as the platform renders it.
    pub fn write_settings(&self, seeds: &[SocketAddr], is_first_start: bool) {
        let role = if self.is_control { "control" } else { "entry" };
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (ip, listen) = (self.ip, self.listen_ip);
        let folder = match self.is_control {
            true => format!("data_folder: \"{}\"\n", self.folder.join("data").display()),
            false => String::new(),
        };
        let cold_bounds = self.cold_bounds.map_or(String::new(), |(excess, slack)| {
            format!("  cold_excess: {excess}\n  cold_slack: {slack}\n")
        });
        let upstream_bytes = self
            .upstream_bytes
            .map_or(String::new(), |bytes| format!("  upstream_bytes: {bytes}\n"));
        let text = format!(
            "instance: \"{ip}\"\ndata_centre: {}\nroles: [{role}]\n\
             listen:\n  callers: \"{listen}:{CALLERS_PORT}\"\n  \
             operators: \"{listen}:{CONTROL_PORT}\"\n  \
             peers: \"{listen}:{PEERS_PORT}\"\n  advertised: \"{ip}:{PEERS_PORT}\"\n  \
             ready: \"{listen}:{READY_PORT}\"\n  metrics: \"{listen}:{METRICS_PORT}\"\n\
             {folder}seeds: [{}]\n\
             first_start: {is_first_start}\nlosses_borne: {}\n\
             fleet_secrets: [\"a-secret-of-these-tests\"]\ntiming:\n  drain: {}s\n\
             direct:\n  announce_period: {}ms\n  startup_wait: {}ms\n{cold_bounds}{upstream_bytes}{}",
            self.data_centre,
            seeds.join(", "),
            self.losses_borne,
            self.drain_seconds,
            self.announce_period_millis,
            self.startup_wait_millis,
            self.extra_settings
        );
        std::fs::write(self.settings(), text).unwrap();
    }
}

/// A fleet of control and entry instances on loopback addresses of its own network.
pub struct Machines {
    network: (u8, u8),
    _folder: TempDir,
    root: PathBuf,
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
}

impl Machines {
    /// Starts a new fleet.
    pub fn start(controls: u8, entries: u8) -> Self {
        Self::start_with_setup(controls, entries, |_| {})
    }

    /// Starts a new fleet; calls `setup` for each instance before it starts.
    pub fn start_with_setup<F>(controls: u8, entries: u8, mut setup: F) -> Self
    where
        F: FnMut(&mut Machine),
    {
        let folder = tempfile::tempdir().unwrap();
        let process = std::process::id();
        let network =
            (1 + (process % 250) as u8, 100 + NEXT_NETWORK.fetch_add(1, Ordering::Relaxed) % 150);
        let root = folder.path().to_path_buf();
        let mut fleet =
            Self { network, _folder: folder, root, controls: Vec::new(), entries: Vec::new() };
        for number in 1..=controls {
            let machine = fleet.machine(number);
            fleet.controls.push(machine);
        }
        for number in 0..entries {
            let machine = fleet.machine(FIRST_ENTRY_NUMBER + number);
            fleet.entries.push(machine);
        }
        let seeds = fleet.seeds();
        for machine in fleet.controls.iter_mut().chain(&mut fleet.entries) {
            setup(machine);
            machine.write_settings(&seeds, true);
            machine.start();
        }
        fleet
    }

    /// Creates an instance that has not been started.
    pub fn machine(&self, number: u8) -> Machine {
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, number);
        let folder = self.root.join(number.to_string());
        std::fs::create_dir_all(&folder).unwrap();
        Machine {
            ip,
            listen_ip: ip,
            is_control: number < FIRST_ENTRY_NUMBER,
            data_centre: "giza".to_string(),
            announce_period_millis: ANNOUNCE_PERIOD_MILLIS,
            upstream_bytes: None,
            drain_seconds: DRAIN_SECONDS,
            losses_borne: 1,
            cold_bounds: None,
            startup_wait_millis: 0,
            extra_settings: String::new(),
            folder,
            process: None,
        }
    }

    /// Returns the control addresses of the first three control instances.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.controls.iter().take(3).map(Machine::control).collect()
    }

    /// Sends a document to the control instances until one of them acknowledges it.
    pub fn put_document_until_acknowledged(&self, document: &Value) {
        let text = document.to_string();
        wait_for("the acknowledgement of a document", || {
            self.controls.iter().find_map(|machine| {
                let answer = put_document(machine.control(), &text).ok()?;
                (answer.status == 200).then_some(())
            })
        });
    }

    /// Waits until every entry instance has the document `number` in force.
    pub fn wait_document_in_force(&self, number: u64) {
        for machine in &self.entries {
            wait_for("the document to be in force", || {
                let lines = machine.events("catalogue");
                lines.iter().any(|line| line["number"] == number).then_some(())
            });
        }
    }

    /// Waits until every entry instance is ready with the document `number` in force.
    pub fn wait_ready(&self, number: u64) {
        for machine in &self.entries {
            wait_for("an instance to be ready", || {
                let has_document =
                    machine.events("catalogue").iter().any(|line| line["number"] == number);
                (has_document && machine.is_ready()).then_some(())
            });
        }
    }
}

/// Sends a document to the control address `address`.
pub fn put_document(address: SocketAddr, text: &str) -> std::io::Result<HttpResponse> {
    let headers = [("content-type", "application/json")];
    send_request_with_timeout(address, "PUT", "/v1/configuration", &headers, text, 5)
}

/// Returns the number of the newest document that the instance at `address` reports, or `None` if
/// it does not report one.
pub fn newest_number(address: SocketAddr) -> Option<u64> {
    let answer = send_request_with_timeout(address, "GET", "/v1/configuration", &[], "", 2).ok()?;
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    document["version"].as_u64().filter(|_| answer.status == 200)
}

/// Returns a route of the document.
fn route(name: &str, kind: &str, service: &str, resumes: bool) -> Value {
    json!({
        "name": name, "host": "api.example", "path-prefix": format!("/{name}/"), "kind": kind,
        "timeout-ms": 6000, "objective-ms": 500, "priority": 1, "service": service,
        "attempts": 2, "anonymous-access": false, "session-affinity": kind == "streaming",
        "resume-streams": resumes, "gap-target-ms": 250,
    })
}

/// Returns the document `number`, with one route of each kind.
pub fn document(number: u64) -> Value {
    json!({
        "version": number,
        "routes": [
            route("captions", "streaming", "engines", true),
            route("reports", "streaming", "engines", false),
            route("bookings", "unsafe", "shop", false),
            route("albums", "safe", "shop", false),
        ],
        "services": [
            { "name": "engines", "connection-limit": 64,
              "engine": { "slots": 8, "cache-capacity-tokens": 100_000 } },
            { "name": "shop", "connection-limit": 64 },
        ],
        "limits": { "header-bytes": 8192, "body-bytes": 65536, "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000 },
        "tenants": [{ "name": "family", "api-keys": [KEY] }],
    })
}
