//! Fleets: instances with their settings, links and upstreams.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::{API_KEY, PATIENCE, PROGRAM, Process, Proxy, book, free_address, get, spawn, wait_for};

pub const FLEET_SECRET: &str = "a fleet secret for tests only";

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

pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub process: Process,
    arguments: Vec<String>,
}

/// The one-way link on which one instance reaches another.
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub proxy: Proxy,
}

/// What a fleet is made of.
#[derive(Clone, Default)]
pub struct Plan {
    /// The data centre of each instance.
    pub data_centres: Vec<String>,
    /// How many of the instances, from the first, have the control role and vote.
    pub voters: usize,
    /// Whether all links between instances lead through fault-injecting proxies.
    pub proxied: bool,
    /// Further settings of every instance.
    pub extra: Vec<(String, Value)>,
}

impl Plan {
    pub fn new(data_centres: &[&str]) -> Self {
        let data_centres = data_centres.iter().map(|name| name.to_string()).collect();
        Self { data_centres, ..Self::default() }
    }

    pub fn with_voters(self, voters: usize) -> Self {
        Self { voters, ..self }
    }

    pub fn with_proxies(self) -> Self {
        Self { proxied: true, ..self }
    }

    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.extra.push((field.to_string(), value));
        self
    }
}

pub struct Fleet {
    pub folder: TempDir,
    pub instances: Vec<Instance>,
    pub upstreams: Vec<Upstream>,
    pub links: Vec<Link>,
    plan: Plan,
}

/// Declarations with one model, one service of bookings, three kinds and one account.
pub fn declarations() -> String {
    let hash = key_hash(API_KEY);
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

pub fn key_hash(key: &str) -> String {
    let mut command = Command::new(PROGRAM);
    let mut child = spawn(command.arg("hash-key").stdin(Stdio::piped()).stdout(Stdio::piped()));
    std::io::Write::write_all(child.stdin.as_mut().unwrap(), key.as_bytes()).unwrap();
    drop(child.stdin.take());
    let output = child.wait_with_output().unwrap();
    String::from_utf8(output.stdout).unwrap().trim().to_string()
}

impl Fleet {
    /// Starts one instance for each data centre named, in that order, without voters.
    pub fn start(data_centres: &[&str]) -> Self {
        Self::start_plan(Plan::new(data_centres))
    }

    /// Starts the instances of `plan` and waits until they are ready.
    pub fn start_plan(plan: Plan) -> Self {
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("declarations.yaml"), declarations()).unwrap();
        let all: Vec<Addresses> = plan
            .data_centres
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
        let links = if plan.proxied { links(&all) } else { Vec::new() };
        let mut fleet = Self { folder, instances: Vec::new(), upstreams: Vec::new(), links, plan };
        for (index, addresses) in all.iter().enumerate() {
            let settings = fleet.folder.path().join(format!("{}.yaml", addresses.name));
            std::fs::write(&settings, fleet.settings_text(index, &all)).unwrap();
            let process = fleet.serve(&addresses.name, &settings);
            let addresses = addresses.clone();
            fleet.instances.push(Instance { addresses, process, settings });
        }
        for index in 0..fleet.instances.len() {
            fleet.wait_ready(index);
        }
        fleet
    }

    fn settings_text(&self, index: usize, all: &[Addresses]) -> String {
        let me = &all[index];
        let is_voter = index < self.plan.voters;
        let peers: Vec<Value> = (0..all.len())
            .filter(|other| *other != index)
            .map(|other| {
                json!({
                    "instance": all[other].name,
                    "data_centre": all[other].data_centre,
                    "address": self.reached_at(index, other, all).to_string(),
                })
            })
            .collect();
        let voters: Vec<&str> =
            all.iter().take(self.plan.voters).map(|voter| voter.name.as_str()).collect();
        let mut settings = json!({
            "instance": me.name,
            "data_centre": me.data_centre,
            "roles": if is_voter { vec!["entry", "control"] } else { vec!["entry"] },
            "listen": {
                "callers": me.callers.to_string(),
                "operators": me.operators.to_string(),
                "peers": me.peers.to_string(),
            },
            "data_folder": self.data_folder(&me.name),
            "fleet_secrets": [FLEET_SECRET],
            "bootstrap_declarations": self.folder.path().join("declarations.yaml"),
            "peers": peers,
            "voters": voters,
        });
        for (field, value) in &self.plan.extra {
            settings[field] = value.clone();
        }
        settings.to_string()
    }

    fn reached_at(&self, from: usize, to: usize, all: &[Addresses]) -> SocketAddr {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        link.map_or(all[to].peers, |link| link.proxy.address())
    }

    /// The data folder of the instance called `name`.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}-data"))
    }

    fn serve(&self, name: &str, settings: &Path) -> Process {
        let arguments =
            ["serve".to_string(), "--settings".to_string(), settings.display().to_string()];
        Process::start(&arguments, self.folder.path().join(format!("{name}.log")))
    }

    /// Waits until an instance is ready; what it answered last and its log tell why it was not.
    pub fn wait_ready(&self, index: usize) {
        let instance = &self.instances[index];
        let deadline = Instant::now() + PATIENCE;
        let mut answer = get(instance.addresses.operators, "/readyz");
        while answer.is_err() {
            if Instant::now() >= deadline {
                let log = instance.process.log_text();
                panic!("instance {index} is not ready within {PATIENCE:?}: {answer:?}\n{log}");
            }
            std::thread::sleep(Duration::from_millis(10));
            answer = get(instance.addresses.operators, "/readyz");
        }
    }

    /// Kills an instance without a word.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].process.kill();
    }

    /// Starts a killed or stopped instance again, with the data that it has.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let instance = &self.instances[index];
        let process = self.serve(&instance.addresses.name, &instance.settings);
        self.instances[index].process = process;
    }

    /// The link on which the instance `from` reaches the instance `to`.
    pub fn link(&self, from: usize, to: usize) -> &Proxy {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        &link.expect("the fleet has no proxies").proxy
    }

    /// Cuts or heals all links between `group` and the other instances, both ways.
    pub fn set_cut(&self, group: &[usize], is_cut: bool) {
        for link in &self.links {
            if group.contains(&link.from) != group.contains(&link.to) {
                link.proxy.change(|faults| faults.is_cut = is_cut);
            }
        }
    }

    /// Starts a stand-in that announces itself to the instances of its data centre, and waits
    /// until all of them know it.
    pub fn add_upstream(&mut self, name: &str, data_centre: &str, flags: &[&str]) -> SocketAddr {
        self.add_upstreams(name, data_centre, flags, 1)
    }

    /// Starts `count` stand-ins in one process; gives the address of the first.
    pub fn add_upstreams(
        &mut self,
        name: &str,
        data_centre: &str,
        flags: &[&str],
        count: usize,
    ) -> SocketAddr {
        let address = self.start_upstream(name, data_centre, flags);
        self.wait_listed(name, data_centre, count);
        address
    }

    /// Starts a stand-in that instances reach through a proxy, and announces it once.
    pub fn add_proxied_upstream(&mut self, name: &str, data_centre: &str, flags: &[&str]) -> Proxy {
        let address = self.start_upstream(name, "nowhere", flags);
        let proxy = Proxy::start(address);
        let models: Vec<&str> =
            flags.windows(2).filter(|pair| pair[0] == "--model").map(|pair| pair[1]).collect();
        let protocol = if models.is_empty() { "plain" } else { "chat-completions" };
        let announcement = json!({
            "upstream": name,
            "incarnation": 1,
            "data_centre": data_centre,
            "address": proxy.address().to_string(),
            "protocol": protocol,
            "models": models,
            "slots": 64,
            "labels": { "app": "shop" },
            "expires_in": "300s",
        });
        let instances = self.operators_in(data_centre);
        let url = format!("http://{}/announce", instances[0]);
        ureq::post(&url).send(announcement.to_string()).unwrap();
        self.wait_listed(name, data_centre, 1);
        proxy
    }

    /// Starts a booking service whose journal outlives it.
    pub fn add_shop(&mut self, name: &str) {
        let journal = self.journal().display().to_string();
        let flags = ["--label", "app=shop", "--word-interval", "50ms", "--journal", &journal];
        self.add_upstream(name, "giza", &flags);
    }

    /// The journal of all booking services.
    pub fn journal(&self) -> PathBuf {
        self.folder.path().join("journal")
    }

    /// Waits until bookings with a key are taken through every instance.
    pub fn wait_quorum(&self) {
        for instance in &self.instances {
            let key = format!("warm-up-{}", instance.addresses.name);
            wait_for("quorum", || {
                let answer = book(instance.addresses.callers, &key, "nobody").ok()?;
                (answer.status == 200).then_some(())
            });
        }
    }

    /// Starts a killed stand-in again, at the address that it had.
    pub fn restart_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.process.kill();
        let mut arguments = upstream.arguments.clone();
        arguments.extend(["--listen".to_string(), upstream.address.to_string()]);
        let log = self.folder.path().join(format!("{}.log", upstream.name));
        upstream.process = Process::start(&arguments, log);
        upstream.process.first_line();
    }

    fn start_upstream(&mut self, name: &str, data_centre: &str, flags: &[&str]) -> SocketAddr {
        let mut arguments: Vec<String> =
            ["stand-in", "--name", name, "--data-centre", data_centre].map(String::from).into();
        for address in self.operators_in(data_centre) {
            arguments.push("--instance".to_string());
            arguments.push(address.to_string());
        }
        arguments.extend(flags.iter().map(|flag| flag.to_string()));
        let log = self.folder.path().join(format!("{name}.log"));
        let mut process = Process::start(&arguments, log);
        let line = process.first_line();
        let address = line.strip_prefix("listening on ").unwrap().parse().unwrap();
        self.upstreams.push(Upstream { name: name.to_string(), address, process, arguments });
        address
    }

    fn wait_listed(&self, name: &str, data_centre: &str, count: usize) {
        for operators in self.operators_in(data_centre) {
            wait_for("announcement", || {
                let listed = get(operators, "/upstreams").ok()?;
                let prefix = format!("\"upstream\":\"{name}");
                (listed.matches(&prefix).count() >= count).then_some(())
            });
        }
    }

    fn operators_in(&self, data_centre: &str) -> Vec<SocketAddr> {
        let local = self.instances.iter().filter(|one| one.addresses.data_centre == data_centre);
        local.map(|instance| instance.addresses.operators).collect()
    }
}

fn links(all: &[Addresses]) -> Vec<Link> {
    let pairs = (0..all.len()).flat_map(|from| (0..all.len()).map(move |to| (from, to)));
    pairs
        .filter(|(from, to)| from != to)
        .map(|(from, to)| Link { from, to, proxy: Proxy::start(all[to].peers) })
        .collect()
}
