//! `dev`: runs a whole fleet of one on loopback, with stand-in upstreams.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use declare::{KeyHash, Labels};
use instance::{Bound, Stop};
use names::{DataCentre, Incarnation, Upstream};
use settings::Settings;
use standin::{Behaviour, Options, Running, Work};
use tempfile::TempDir;
use units::Span;

use crate::{Command, Entry, Error, Exit, signals};

const HELP: &str = "Runs one instance with stand-in engines and a booking service on loopback";
const EXAMPLES: &str = "Example: turmericrelay dev --callers 127.0.0.1:8080";

/// The API key that the development fleet accepts.
const API_KEY: &str = "dev-key";

/// The operator's token that the development fleet accepts.
const OPERATOR_TOKEN: &str = "dev-operator-token";

const FLEET_SECRET: &str = "development fleet on loopback only";
/// How often the examples wait for readiness.
const READY_CHECK: Duration = Duration::from_millis(50);

const MODEL: &str = "caption-small";
const ENGINES: usize = 3;

/// Loopback with a port that the system chooses.
const ANY_PORT: SocketAddr =
    SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

struct Dev {
    callers: SocketAddr,
    operators: SocketAddr,
}

pub(crate) fn entry() -> Entry {
    let callers = long("callers")
        .help("Where callers connect")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 8080)));
    let operators = long("operators")
        .help("Where operators connect")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 8081)));
    construct!(Dev { callers, operators })
        .map(|dev| -> Box<dyn Command> { Box::new(dev) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("dev")
        .help(HELP)
        .boxed()
}

fn declarations() -> String {
    let hash = KeyHash::of(API_KEY);
    format!(
        "kinds:
  - {{name: caption, rank: normal, deadline: 30s}}
  - {{name: booking, rank: urgent, deadline: 10s}}
services:
  - name: {MODEL}
    target: {{model: {MODEL}}}
    kind: caption
  - name: shop
    target: {{upstreams: \"app=shop\"}}
    kind: booking
client_accounts:
  - name: developer
    keys: [\"{hash}\"]
"
    )
}

impl Dev {
    fn settings(&self, folder: &Path) -> Result<Settings, Error> {
        let declarations = folder.join("declarations.yaml");
        std::fs::write(&declarations, self::declarations())
            .map_err(|source| Error::System { what: "declarations cannot be written", source })?;
        let text = format!(
            "instance: dev
data_centre: loopback
roles: [entry, control]
listen:
  callers: {callers}
  operators: {operators}
  peers: {ANY_PORT}
data_folder: {folder:?}
fleet_secrets: [{FLEET_SECRET:?}]
operator_tokens: {{developer: {OPERATOR_TOKEN}}}
voters: [dev]
bootstrap_declarations: {declarations:?}
",
            callers = self.callers,
            operators = self.operators,
            folder = folder.join("data"),
        );
        Ok(Settings::try_from(text)?)
    }

    fn stand_in(&self, name: &str, work: Work) -> Result<Running, Error> {
        let mut labels = Labels::default();
        if work == Work::Service {
            labels.set("app".to_string(), "shop".to_string());
        }
        let options = Options {
            name: name.parse::<Upstream>()?,
            incarnation: Incarnation(1),
            data_centre: "loopback".parse::<DataCentre>()?,
            listen: ANY_PORT,
            instances: vec![self.operators],
            token: None,
            work,
            slots: 8,
            labels,
            word_interval: Span::from_millis(30),
            prefill_per_block: Span::from_millis(2),
            cache_blocks: 4096,
            journal: None,
            expires_in: Span::from_seconds(3),
            behaviour: Behaviour::default(),
        };
        Ok(standin::start(options)?)
    }

    fn stand_ins(&self) -> Result<Vec<Running>, Error> {
        let mut running = Vec::new();
        for number in 1..=ENGINES {
            let work = Work::Engine(MODEL.parse()?);
            running.push(self.stand_in(&format!("engine-{number}"), work)?);
        }
        running.push(self.stand_in("shop-1", Work::Service)?);
        Ok(running)
    }

    /// Prints the examples once the instance is ready, from a thread of its own.
    fn print_examples_when_ready(&self) -> Result<(), Error> {
        let system = |source| Error::System { what: "thread cannot be started", source };
        let dev = Dev { callers: self.callers, operators: self.operators };
        std::thread::Builder::new()
            .name("readiness".to_string())
            .spawn(move || {
                let url = format!("http://{}/readyz", dev.operators);
                while ureq::get(&url).call().is_err() {
                    std::thread::sleep(READY_CHECK);
                }
                dev.print_examples();
            })
            .map_err(system)?;
        Ok(())
    }

    fn print_examples(&self) {
        let callers = self.callers;
        println!("A streamed chat:");
        println!(
            "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
             -H 'Content-Type: application/json' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
        );
        println!("A booking:");
        println!(
            "curl http://{callers}/services/shop/bookings -H 'Authorization: Bearer {API_KEY}' \
             -H 'Content-Type: application/json' -H 'Idempotency-Key: booking-1' \
             -d '{{\"family\":\"Hassan\"}}'"
        );
        println!("Metrics: curl http://{}/metrics", self.operators);
    }
}

impl Command for Dev {
    fn run(&self) -> Result<Exit, Error> {
        telemetry::start_logs(false)?;
        let folder = TempDir::new()
            .map_err(|source| Error::System { what: "no temporary folder", source })?;
        let settings = self.settings(folder.path())?;
        let bound = Bound::new(&settings)?;
        let stop = Stop::default();
        let asked = stop.clone();
        signals::on_stop(move || asked.ask())?;
        let stand_ins = self.stand_ins()?;
        self.print_examples_when_ready()?;
        instance::run(settings, bound, &stop)?;
        drop(stand_ins);
        Ok(Exit::Done)
    }
}
