//! `stand-in`: runs a stand-in engine or service for tests and measurements.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use declare::Labels;
use names::{DataCentre, Incarnation, Model, Upstream};
use standin::{Behaviour, Options, Running, Work};
use units::Span;

use crate::{Command, Entry, Error, Exit, signals};

const HELP: &str = "Runs a stand-in engine or booking service";
const EXAMPLES: &str = "Example: turmericrelay stand-in --name engine-1 --data-centre giza \
                        --model caption --instance 127.0.0.1:8081";

struct StandIn {
    options: Options,
    count: usize,
}

fn labels(pairs: Vec<String>) -> Result<Labels, String> {
    let mut labels = Labels::default();
    for pair in pairs {
        let (key, value) =
            pair.split_once('=').ok_or_else(|| format!("label \"{pair}\" is not KEY=VALUE"))?;
        labels.set(key.to_string(), value.to_string());
    }
    Ok(labels)
}

fn incarnation() -> Incarnation {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

fn behaviour() -> impl Parser<Behaviour> {
    let checks_fencing =
        long("checks-fencing").help("Refuses orders with an old fencing number").switch();
    let report_every = long("report-every")
        .help("How often load and cache events are reported")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(500));
    let report_lag = long("report-lag")
        .help("How late reports arrive")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(0));
    let cache_loss_percent = long("cache-loss")
        .help("Cache events that are lost")
        .argument::<u32>("PERCENT")
        .fallback(0);
    let seed = long("seed").help("Seed of the losses").argument::<u64>("NUMBER").fallback(1);
    construct!(Behaviour { checks_fencing, report_every, report_lag, cache_loss_percent, seed })
}

pub(crate) fn entry() -> Entry {
    let name = long("name").help("Name of the upstream").argument::<Upstream>("NAME");
    let data_centre = long("data-centre").help("Its data centre").argument::<DataCentre>("NAME");
    let model = long("model")
        .help("Model that it serves; without one it is a booking service")
        .argument::<Model>("NAME")
        .optional();
    let listen = long("listen")
        .help("Where it listens")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let instances = long("instance")
        .help("Operators' address of an instance to announce itself to")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let token =
        long("token").help("Token for announcements").argument::<String>("TOKEN").optional();
    let slots = long("slots").help("Requests at once").argument::<u32>("COUNT").fallback(8);
    let labels = long("label").help("Label").argument::<String>("KEY=VALUE").many().parse(labels);
    let word_interval = long("word-interval")
        .help("Time between two words")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(20));
    let prefill_per_block = long("prefill-per-block")
        .help("Time to compute one block of a prompt")
        .argument::<Span>("SPAN")
        .fallback(Span::from_millis(1));
    let cache_blocks =
        long("cache-blocks").help("Blocks cached").argument::<usize>("COUNT").fallback(4096);
    let journal = long("journal")
        .help("File to which a service appends what ran")
        .argument::<PathBuf>("FILE")
        .optional();
    let expires_in = long("expires-in")
        .help("How long an announcement holds")
        .argument::<Span>("SPAN")
        .fallback(Span::from_seconds(3));
    let incarnation = bpaf::pure_with(|| Ok::<_, Error>(incarnation()));
    let work = model.map(|model| model.map_or(Work::Service, Work::Engine));
    let options = construct!(Options {
        name,
        incarnation,
        data_centre,
        listen,
        instances,
        token,
        work,
        slots,
        labels,
        word_interval,
        prefill_per_block,
        cache_blocks,
        journal,
        expires_in,
        behaviour(behaviour()),
    });
    let count = long("count")
        .help("Starts this many, named NAME-1 and so on when there is more than one")
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
    fn numbered(&self, number: usize) -> Result<Options, Error> {
        if self.count == 1 {
            return Ok(self.options.clone());
        }
        let name = format!("{}-{number}", self.options.name).parse()?;
        Ok(Options { name, ..self.options.clone() })
    }
}

impl Command for StandIn {
    fn run(&self) -> Result<Exit, Error> {
        telemetry::start_logs(false)?;
        let mut running = Vec::new();
        for number in 1..=self.count {
            let stand_in = standin::start(self.numbered(number)?)?;
            println!("listening on {}", stand_in.address());
            running.push(stand_in);
        }
        let (stop, stopped) = std::sync::mpsc::channel();
        signals::on_stop(move || {
            let _ = stop.send(());
        })?;
        if stopped.recv().is_ok() {
            running.iter().for_each(Running::leave);
        }
        Ok(Exit::Done)
    }
}
