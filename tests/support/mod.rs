//! Fleets of real processes for tests.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const API_KEY: &str = "test-key-of-nasr";
pub const FLEET_SECRET: &str = "a fleet secret for tests only";
const PROGRAM: &str = env!("CARGO_BIN_EXE_turmericrelay");

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other process of this test run uses, with a free port.
pub fn free_address() -> SocketAddr {
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let host = Ipv4Addr::new(
        127,
        1 + (process % 250) as u8,
        (process / 250 % 250) as u8,
        1 + (number % 250) as u8,
    );
    let listener = TcpListener::bind((host, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Asks `check` again and again until it gives a value; fails the test when it never does.
pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if let Some(value) = check() {
            return value;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{what} did not happen within {PATIENCE:?}");
}

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    pub fn start(arguments: &[String], log: PathBuf) -> Self {
        let child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(File::create(&log).unwrap())
            .spawn()
            .unwrap();
        Self { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn first_line(&mut self) -> String {
        let mut line = String::new();
        BufReader::new(self.child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
        line.trim().to_string()
    }

    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself; gives its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        wait_for("end of process", || self.child.try_wait().unwrap()).code()
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses of one instance.
#[derive(Clone)]
pub struct Addresses {
    pub name: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

pub struct Instance {
    pub addresses: Addresses,
    pub process: Process,
    pub settings: PathBuf,
}

pub struct Fleet {
    pub folder: TempDir,
    pub instances: Vec<Instance>,
    pub upstreams: Vec<Upstream>,
}

pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub process: Process,
}

/// Declarations with one model, one service of bookings, three kinds and one account.
pub fn declarations() -> String {
    let hash = declare_hash(API_KEY);
    format!(
        r#"
kinds:
  - {{name: report, rank: deferrable, deadline: 60s, least_share_percent: 10}}
  - {{name: caption, rank: normal, deadline: 30s, least_share_percent: 10}}
  - {{name: booking, rank: urgent, deadline: 10s}}
services:
  - name: caption-small
    target: {{model: caption-small}}
    kind: caption
  - name: shop
    target: {{upstreams: "app=shop"}}
    kind: booking
client_accounts:
  - name: nasr
    keys: ["{hash}"]
"#
    )
}

fn declare_hash(key: &str) -> String {
    let mut child = Command::new(PROGRAM)
        .arg("hash-key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    std::io::Write::write_all(child.stdin.as_mut().unwrap(), key.as_bytes()).unwrap();
    drop(child.stdin.take());
    let output = child.wait_with_output().unwrap();
    String::from_utf8(output.stdout).unwrap().trim().to_string()
}

fn settings_text(me: &Addresses, all: &[Addresses], declarations: &Path) -> String {
    let peers: Vec<Value> = all
        .iter()
        .filter(|peer| peer.name != me.name)
        .map(|peer| {
            json!({
                "instance": peer.name,
                "data_centre": peer.data_centre,
                "address": peer.peers.to_string(),
            })
        })
        .collect();
    json!({
        "instance": me.name,
        "data_centre": me.data_centre,
        "roles": ["entry"],
        "listen": {
            "callers": me.callers.to_string(),
            "operators": me.operators.to_string(),
            "peers": me.peers.to_string(),
        },
        "fleet_secrets": [FLEET_SECRET],
        "bootstrap_declarations": declarations,
        "peers": peers,
    })
    .to_string()
    .replace("\"instance\":\"", "\"instance\": \"")
}

impl Fleet {
    /// Starts one instance for each data centre named, in that order.
    pub fn start(data_centres: &[&str]) -> Self {
        let folder = TempDir::new().unwrap();
        let declarations_path = folder.path().join("declarations.yaml");
        std::fs::write(&declarations_path, declarations()).unwrap();
        let all: Vec<Addresses> = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| Addresses {
                name: format!("instance-{}", index + 1),
                data_centre: data_centre.to_string(),
                callers: free_address(),
                operators: free_address(),
                peers: free_address(),
            })
            .collect();
        let mut fleet = Self { folder, instances: Vec::new(), upstreams: Vec::new() };
        for addresses in &all {
            let settings = fleet.folder.path().join(format!("{}.yaml", addresses.name));
            std::fs::write(&settings, settings_text(addresses, &all, &declarations_path)).unwrap();
            let process = fleet.serve(&addresses.name, &settings);
            let addresses = addresses.clone();
            fleet.instances.push(Instance { addresses, process, settings });
        }
        for instance in &fleet.instances {
            wait_for("readiness", || get(instance.addresses.operators, "/readyz").ok());
        }
        fleet
    }

    fn serve(&self, name: &str, settings: &Path) -> Process {
        let arguments =
            ["serve".to_string(), "--settings".to_string(), settings.display().to_string()];
        Process::start(&arguments, self.folder.path().join(format!("{name}.log")))
    }

    /// Starts a stand-in that announces itself to the instances of its data centre, and waits
    /// until all of them know it.
    pub fn add_upstream(&mut self, name: &str, data_centre: &str, flags: &[&str]) -> SocketAddr {
        let mut arguments: Vec<String> =
            ["stand-in", "--name", name, "--data-centre", data_centre].map(String::from).into();
        let local = self.instances.iter().filter(|one| one.addresses.data_centre == data_centre);
        for instance in local {
            arguments.push("--instance".to_string());
            arguments.push(instance.addresses.operators.to_string());
        }
        arguments.extend(flags.iter().map(|flag| flag.to_string()));
        let log = self.folder.path().join(format!("{name}.log"));
        let mut process = Process::start(&arguments, log);
        let line = process.first_line();
        let address = line.strip_prefix("listening on ").unwrap().parse().unwrap();
        self.upstreams.push(Upstream { name: name.to_string(), address, process });
        let local = self.instances.iter().filter(|one| one.addresses.data_centre == data_centre);
        for instance in local {
            wait_for("announcement", || {
                let listed = get(instance.addresses.operators, "/upstreams").ok()?;
                listed.contains(&format!("\"{name}\"")).then_some(())
            });
        }
        address
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent()
}

/// Body of a successful GET.
pub fn get(address: SocketAddr, path: &str) -> Result<String, String> {
    let mut response =
        agent().get(format!("http://{address}{path}")).call().map_err(|error| error.to_string())?;
    let body = response.body_mut().read_to_string().map_err(|error| error.to_string())?;
    if response.status().is_success() { Ok(body) } else { Err(body) }
}

/// What a caller got.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub verdict: Option<String>,
    pub retry_after: Option<String>,
    pub request_id: Option<String>,
    pub body: String,
}

/// Posts JSON as a caller with an API key.
pub fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Answer, String> {
    let mut request = agent()
        .post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body.to_string()).map_err(|error| error.to_string())?;
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_string());
    let (verdict, retry_after, request_id) =
        (header("x-turmericrelay-verdict"), header("retry-after"), header("x-request-id"));
    let status = response.status().as_u16();
    let mut text = String::new();
    response.body_mut().as_reader().read_to_string(&mut text).map_err(|error| error.to_string())?;
    Ok(Answer { status, verdict, retry_after, request_id, body: text })
}

/// A chat-completions request.
pub fn chat(text: &str, words: usize, streams: bool) -> Value {
    json!({
        "model": "caption-small",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": words,
        "stream": streams,
    })
}

/// The text that a stand-in engine answers to `chat(text, words, _)`.
pub fn expected_answer(text: &str, words: usize) -> String {
    standin::answer(&format!("user: {text}\n"), words)
}

/// The text of a streamed answer; none when it is not whole.
pub fn streamed_text(body: &str) -> Option<String> {
    let mut text = String::new();
    let mut is_whole = false;
    for line in body.lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => is_whole = true,
            Some(event) => {
                let event: Value = serde_json::from_str(event).ok()?;
                text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
            }
            None => {}
        }
    }
    is_whole.then_some(text)
}
