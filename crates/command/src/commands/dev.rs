//! `dev`: runs a development fleet of one instance and stand-in upstreams on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use declare::{KeyHash, Labels};
use instance::{Bound, Stop};
use names::{DataCentre, Incarnation, Upstream};
use settings::Settings;
use standin::{Behaviour, Options, Running, UpstreamKind};
use tempfile::TempDir;
use units::Span;

use crate::{Command, CommandParser, Error, Exit, signals};

const HELP: &str = "Runs one instance with stand-in engines and a booking service on loopback";
const EXAMPLES: &str = "Example: turmericrelay dev --callers 127.0.0.1:8080";

/// API key that the development fleet accepts.
const API_KEY: &str = "dev-key";

/// Operator's token that the development fleet accepts.
const OPERATOR_TOKEN: &str = "dev-operator-token";

const FLEET_SECRET: &str = "development fleet on loopback only";

/// Interval of the readiness checks before the examples are printed.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const MODEL: &str = "caption-small";
const ENGINE_COUNT: usize = 3;

/// Loopback address with port 0, for which the operating system chooses a free port.
const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

struct Dev {
    callers: SocketAddr,
    operators: SocketAddr,
}

pub(crate) fn parser() -> CommandParser {
    let callers = long("callers")
        .help("Address that callers connect to")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 8080)));
    let operators = long("operators")
        .help("Address that operators connect to")
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
            .map_err(|source| Error::System { context: "cannot write the declarations", source })?;
        let content = format!(
            "instance: dev
data_centre: loopback
roles: [entry, control]
listen:
  callers: {callers}
  operators: {operators}
  peers: {ANY_LOOPBACK_PORT}
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
        Ok(Settings::try_from(content)?)
    }

    fn start_stand_in(&self, name: &str, kind: UpstreamKind) -> Result<Running, Error> {
        let mut labels = Labels::default();
        if kind == UpstreamKind::Service {
            labels.set("app".to_string(), "shop".to_string());
        }
        let options = Options {
            name: name.parse::<Upstream>()?,
            incarnation: Incarnation(1),
            data_centre: "loopback".parse::<DataCentre>()?,
            listen: ANY_LOOPBACK_PORT,
            instances: vec![self.operators],
            token: None,
            kind,
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

    fn start_stand_ins(&self) -> Result<Vec<Running>, Error> {
        let mut stand_ins = Vec::new();
        for number in 1..=ENGINE_COUNT {
            let kind = UpstreamKind::Engine(MODEL.parse()?);
            stand_ins.push(self.start_stand_in(&format!("engine-{number}"), kind)?);
        }
        stand_ins.push(self.start_stand_in("shop-1", UpstreamKind::Service)?);
        Ok(stand_ins)
    }

    /// Starts a thread that prints the examples as soon as the instance is ready.
    fn print_examples_when_ready(&self) -> Result<(), Error> {
        let to_error =
            |source| Error::System { context: "cannot start the readiness thread", source };
        let dev = Dev { callers: self.callers, operators: self.operators };
        std::thread::Builder::new()
            .name("readiness".to_string())
            .spawn(move || {
                let url = format!("http://{}/readyz", dev.operators);
                while ureq::get(&url).call().is_err() {
                    std::thread::sleep(READINESS_CHECK_INTERVAL);
                }
                dev.print_examples();
            })
            .map_err(to_error)?;
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
        telemetry::start_stderr_logs(false)?;
        let folder = TempDir::new().map_err(|source| Error::System {
            context: "cannot create a temporary folder",
            source,
        })?;
        let settings = self.settings(folder.path())?;
        let bound = Bound::new(&settings)?;
        let stop = Stop::default();
        let stop_on_signal = stop.clone();
        signals::on_shutdown_signal(move || stop_on_signal.request())?;
        let stand_ins = self.start_stand_ins()?;
        self.print_examples_when_ready()?;
        instance::run(settings, bound, &stop)?;
        drop(stand_ins);
        Ok(Exit::Success)
    }
}
