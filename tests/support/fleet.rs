//! Test fleets: instances with their settings, the links between them, and upstreams.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::{
    API_KEY, PROGRAM, Process, Proxy, WAIT_TIMEOUT, free_address, get, post_booking, spawn,
    wait_for,
};

/// Secret that all instances of a test fleet share.
pub const FLEET_SECRET: &str = "a fleet secret for tests only";

/// Name, data centre and listening addresses of an instance.
#[derive(Clone)]
pub struct Addresses {
    pub name: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// An instance and its process.
pub struct Instance {
    pub addresses: Addresses,
    pub process: Process,
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// A stand-in process.
pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub process: Process,
    arguments: Vec<String>,
}

/// A proxied link that carries the traffic of the instance `from` to the peer address of `to`.
pub struct Link {
    pub from: usize,
    pub to: usize,
    pub proxy: Proxy,
}

/// Composition of a fleet.
#[derive(Clone, Default)]
pub struct Plan {
    /// Data centre of each instance.
    pub data_centres: Vec<String>,
    /// Number of instances, counted from the first, that have the control role and are voters.
    pub voters: usize,
    /// Whether the traffic between instances passes through fault-injecting proxies.
    pub has_proxies: bool,
    /// Additional settings of every instance, which replace the defaults of the same name.
    pub extra_settings: Vec<(String, Value)>,
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
        Self { has_proxies: true, ..self }
    }

    pub fn with_setting(mut self, field: &str, value: Value) -> Self {
        self.extra_settings.push((field.to_string(), value));
        self
    }
}

/// A running fleet; its processes are killed on drop.
pub struct Fleet {
    pub folder: TempDir,
    pub instances: Vec<Instance>,
    pub upstreams: Vec<Upstream>,
    /// Links between instances; empty if the fleet has no proxies.
    pub links: Vec<Link>,
    plan: Plan,
}

/// Returns declarations with three kinds of request, a model service, a booking service and one
/// client account.
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

/// Returns the hash of an API key, computed by the `hash-key` command.
pub fn key_hash(key: &str) -> String {
    let mut command = Command::new(PROGRAM);
    let mut child = spawn(command.arg("hash-key").stdin(Stdio::piped()).stdout(Stdio::piped()));
    std::io::Write::write_all(child.stdin.as_mut().unwrap(), key.as_bytes()).unwrap();
    drop(child.stdin.take());
    let output = child.wait_with_output().unwrap();
    String::from_utf8(output.stdout).unwrap().trim().to_string()
}

impl Fleet {
    /// Starts one instance for each entry of `data_centres`, in that order, without voters.
    pub fn start(data_centres: &[&str]) -> Self {
        Self::start_plan(Plan::new(data_centres))
    }

    /// Starts the instances of `plan` and waits until they are ready.
    pub fn start_plan(plan: Plan) -> Self {
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("declarations.yaml"), declarations()).unwrap();
        let all_addresses: Vec<Addresses> = plan
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
        let links = if plan.has_proxies { start_links(&all_addresses) } else { Vec::new() };
        let mut fleet = Self { folder, instances: Vec::new(), upstreams: Vec::new(), links, plan };
        for (index, addresses) in all_addresses.iter().enumerate() {
            let settings = fleet.folder.path().join(format!("{}.yaml", addresses.name));
            std::fs::write(&settings, fleet.settings_text(index, &all_addresses)).unwrap();
            let process = fleet.start_instance(&addresses.name, &settings);
            let addresses = addresses.clone();
            fleet.instances.push(Instance { addresses, process, settings });
        }
        for index in 0..fleet.instances.len() {
            fleet.wait_ready(index);
        }
        fleet
    }

    fn settings_text(&self, index: usize, all_addresses: &[Addresses]) -> String {
        let own = &all_addresses[index];
        let is_voter = index < self.plan.voters;
        let peers: Vec<Value> = (0..all_addresses.len())
            .filter(|other| *other != index)
            .map(|other| {
                json!({
                    "instance": all_addresses[other].name,
                    "data_centre": all_addresses[other].data_centre,
                    "address": self.peer_address(index, other, all_addresses).to_string(),
                })
            })
            .collect();
        let voters: Vec<&str> =
            all_addresses.iter().take(self.plan.voters).map(|voter| voter.name.as_str()).collect();
        let mut settings = json!({
            "instance": own.name,
            "data_centre": own.data_centre,
            "roles": if is_voter { vec!["entry", "control"] } else { vec!["entry"] },
            "listen": {
                "callers": own.callers.to_string(),
                "operators": own.operators.to_string(),
                "peers": own.peers.to_string(),
            },
            "data_folder": self.data_folder(&own.name),
            "fleet_secrets": [FLEET_SECRET],
            "bootstrap_declarations": self.folder.path().join("declarations.yaml"),
            "peers": peers,
            "voters": voters,
        });
        for (field, value) in &self.plan.extra_settings {
            settings[field] = value.clone();
        }
        settings.to_string()
    }

    /// Returns the address at which the instance `from` reaches the peer address of `to`.
    fn peer_address(&self, from: usize, to: usize, all_addresses: &[Addresses]) -> SocketAddr {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        link.map_or(all_addresses[to].peers, |link| link.proxy.address())
    }

    /// Returns the data folder of the instance `name`.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}-data"))
    }

    fn start_instance(&self, name: &str, settings: &Path) -> Process {
        let arguments =
            ["serve".to_string(), "--settings".to_string(), settings.display().to_string()];
        Process::start(&arguments, self.folder.path().join(format!("{name}.log")))
    }

    /// Waits until an instance is ready; panics with its last response and its log if it is not
    /// ready within [`WAIT_TIMEOUT`].
    pub fn wait_ready(&self, index: usize) {
        let instance = &self.instances[index];
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut response = get(instance.addresses.operators, "/readyz");
        while response.is_err() {
            if Instant::now() >= deadline {
                let log = instance.process.log_text();
                panic!(
                    "instance {index} is not ready within {WAIT_TIMEOUT:?}: {response:?}\n{log}"
                );
            }
            std::thread::sleep(Duration::from_millis(10));
            response = get(instance.addresses.operators, "/readyz");
        }
    }

    /// Kills an instance without a graceful shutdown.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].process.kill();
    }

    /// Kills an instance if it still runs, and starts it again with its existing data.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let instance = &self.instances[index];
        let process = self.start_instance(&instance.addresses.name, &instance.settings);
        self.instances[index].process = process;
    }

    /// Returns the proxy of the link from the instance `from` to the instance `to`.
    pub fn link(&self, from: usize, to: usize) -> &Proxy {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        &link.expect("the fleet has no proxies").proxy
    }

    /// Cuts or restores all links between `group` and the other instances in both directions.
    pub fn set_partition(&self, group: &[usize], is_cut: bool) {
        for link in &self.links {
            if group.contains(&link.from) != group.contains(&link.to) {
                link.proxy.change(|faults| faults.is_cut = is_cut);
            }
        }
    }

    /// Starts a stand-in that announces itself to the instances of its data centre, and waits until
    /// all of them list it.
    pub fn add_upstream(&mut self, name: &str, data_centre: &str, flags: &[&str]) -> SocketAddr {
        self.add_upstreams(name, data_centre, flags, 1)
    }

    /// Starts one stand-in process whose `flags` make it announce `count` upstreams; returns the
    /// address of the first.
    pub fn add_upstreams(
        &mut self,
        name: &str,
        data_centre: &str,
        flags: &[&str],
        count: usize,
    ) -> SocketAddr {
        let address = self.start_upstream(name, data_centre, flags);
        self.wait_for_announcement(name, data_centre, count);
        address
    }

    /// Starts a stand-in that instances reach through a proxy, and announces the proxy's address
    /// once. The stand-in is started for a data centre without instances, so that it sends no
    /// announcements with its real address.
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
        let instances = self.operator_addresses_in(data_centre);
        let url = format!("http://{}/announce", instances[0]);
        ureq::post(&url).send(announcement.to_string()).unwrap();
        self.wait_for_announcement(name, data_centre, 1);
        proxy
    }

    /// Starts a booking service that writes to the shared journal, which remains after the service
    /// ends.
    pub fn add_booking_service(&mut self, name: &str) {
        let journal = self.journal().display().to_string();
        let flags = ["--label", "app=shop", "--word-interval", "50ms", "--journal", &journal];
        self.add_upstream(name, "giza", &flags);
    }

    /// Returns the path of the journal that all booking services share.
    pub fn journal(&self) -> PathBuf {
        self.folder.path().join("journal")
    }

    /// Waits until every instance accepts bookings with an idempotency key.
    pub fn wait_for_quorum(&self) {
        for instance in &self.instances {
            let key = format!("warm-up-{}", instance.addresses.name);
            wait_for("a quorum", || {
                let answer = post_booking(instance.addresses.callers, &key, "nobody").ok()?;
                (answer.status == 200).then_some(())
            });
        }
    }

    /// Kills a stand-in if it still runs, and starts it again at the same address.
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
        for address in self.operator_addresses_in(data_centre) {
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

    /// Waits until all instances of the data centre list `count` upstreams whose names start with
    /// `name`.
    fn wait_for_announcement(&self, name: &str, data_centre: &str, count: usize) {
        for operators in self.operator_addresses_in(data_centre) {
            wait_for("an announcement", || {
                let listed = get(operators, "/upstreams").ok()?;
                let prefix = format!("\"upstream\":\"{name}");
                (listed.matches(&prefix).count() >= count).then_some(())
            });
        }
    }

    /// Returns the operator addresses of the instances in a data centre.
    fn operator_addresses_in(&self, data_centre: &str) -> Vec<SocketAddr> {
        let local =
            self.instances.iter().filter(|instance| instance.addresses.data_centre == data_centre);
        local.map(|instance| instance.addresses.operators).collect()
    }
}

/// Starts a proxy for each ordered pair of instances.
fn start_links(all_addresses: &[Addresses]) -> Vec<Link> {
    let pairs = (0..all_addresses.len())
        .flat_map(|from| (0..all_addresses.len()).map(move |to| (from, to)));
    pairs
        .filter(|(from, to)| from != to)
        .map(|(from, to)| Link { from, to, proxy: Proxy::start(all_addresses[to].peers) })
        .collect()
}
