//! `stand-in`: runs stand-in engines or booking services for tests and measurements.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use declare::Labels;
use names::{DataCentre, Incarnation, Model, Upstream};
use standin::{Behaviour, Options, Running, UpstreamKind};
use units::Span;

use crate::{Command, CommandParser, Error, Exit, signals};

const HELP: &str = "Runs stand-in engines or booking services for tests and measurements";
const EXAMPLES: &str = "Example: turmericrelay stand-in --name engine-1 --data-centre giza \
                        --model caption --instance 127.0.0.1:8081";

struct StandIn {
    options: Options,
    count: usize,
}

/// Parses labels of the form `KEY=VALUE`.
fn parse_labels(pairs: Vec<String>) -> Result<Labels, String> {
    let mut labels = Labels::default();
    for pair in pairs {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| format!("label \"{pair}\" does not have the form KEY=VALUE"))?;
        labels.set(key.to_string(), value.to_string());
    }
    Ok(labels)
}

/// Returns the current time in microseconds as the incarnation, so that a restarted stand-in gets a
/// higher incarnation than before.
fn new_incarnation() -> Incarnation {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

fn behaviour_parser() -> impl Parser<Behaviour> {
    let checks_fencing =
        long("checks-fencing").help("Refuse orders with an outdated fencing token").switch();
    let report_every = long("report-every")
        .help("Interval between reports of load and cache events")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(500));
    let report_lag = long("report-lag")
        .help("Delay of the reports")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(0));
    let cache_loss_percent = long("cache-loss")
        .help("Share of cache events that are lost, in percent")
        .argument::<u32>("PERCENT")
        .fallback(0);
    let seed = long("seed").help("Seed of the random losses").argument::<u64>("NUMBER").fallback(1);
    construct!(Behaviour { checks_fencing, report_every, report_lag, cache_loss_percent, seed })
}

pub(crate) fn parser() -> CommandParser {
    let name = long("name").help("Name of the upstream").argument::<Upstream>("NAME");
    let data_centre =
        long("data-centre").help("Data centre of the upstream").argument::<DataCentre>("NAME");
    let model = long("model")
        .help("Model that the engine serves; a booking service runs if not given")
        .argument::<Model>("NAME")
        .optional();
    let listen = long("listen")
        .help("Address to listen on")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let instances = long("instance")
        .help("Operators' address of an instance that receives announcements")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let token =
        long("token").help("Token for announcements").argument::<String>("TOKEN").optional();
    let slots = long("slots")
        .help("Number of requests that run concurrently")
        .argument::<u32>("COUNT")
        .fallback(8);
    let labels = long("label")
        .help("Label of the upstream")
        .argument::<String>("KEY=VALUE")
        .many()
        .parse(parse_labels);
    let word_interval = long("word-interval")
        .help("Time between two words of an answer")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(20));
    let prefill_per_block = long("prefill-per-block")
        .help("Time to compute one block of a prompt")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(1));
    let cache_blocks = long("cache-blocks")
        .help("Number of blocks that the cache holds")
        .argument::<usize>("COUNT")
        .fallback(4096);
    let journal = long("journal")
        .help("File to which a booking service appends the orders that it ran")
        .argument::<PathBuf>("FILE")
        .optional();
    let expires_in = long("expires-in")
        .help("Time after which an announcement expires")
        .argument::<Span>("SPAN")
        .fallback(Span::from_seconds(3));
    let incarnation = bpaf::pure_with(|| Ok::<_, Error>(new_incarnation()));
    let kind = model.map(|model| model.map_or(UpstreamKind::Service, UpstreamKind::Engine));
    let options = construct!(Options {
        name,
        incarnation,
        data_centre,
        listen,
        instances,
        token,
        kind,
        slots,
        labels,
        word_interval,
        prefill_per_block,
        cache_blocks,
        journal,
        expires_in,
        behaviour(behaviour_parser()),
    });
    let count = long("count")
        .help("Number of stand-ins; several are named NAME-1, NAME-2 and so on")
        .argument::<usize>("COUNT")
        .fallback(1);
    construct!(StandIn { options, count })
        .map(|stand_in| -> Box<dyn Command> { Box::new(stand_in) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("stand-in")
        .help(HELP)
        .boxed()
}

impl StandIn {
    /// Returns the options of the stand-in with this number, counted from 1.
    fn numbered_options(&self, number: usize) -> Result<Options, Error> {
        if self.count == 1 {
            return Ok(self.options.clone());
        }
        let name = format!("{}-{number}", self.options.name).parse()?;
        Ok(Options { name, ..self.options.clone() })
    }
}

impl Command for StandIn {
    fn run(&self) -> Result<Exit, Error> {
        telemetry::start_stderr_logs(false)?;
        let mut stand_ins = Vec::new();
        for number in 1..=self.count {
            let stand_in = standin::start(self.numbered_options(number)?)?;
            println!("listening on {}", stand_in.address());
            stand_ins.push(stand_in);
        }
        let (stop_sender, stop_receiver) = std::sync::mpsc::channel();
        signals::on_shutdown_signal(move || {
            let _ = stop_sender.send(());
        })?;
        if stop_receiver.recv().is_ok() {
            stand_ins.iter().for_each(Running::drain);
        }
        Ok(Exit::Success)
    }
}
