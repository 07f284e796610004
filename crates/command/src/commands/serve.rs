//! `serve`: runs one instance with the settings from a file.

use std::path::PathBuf;

use bpaf::{Parser, long};
use instance::{Bound, Stop};
use settings::Settings;

use crate::{Command, CommandParser, Error, Exit, signals};

const HELP: &str = "Runs one instance until SIGTERM or SIGINT";
const EXAMPLES: &str = "Example: turmericrelay serve --settings giza-1.yaml";

struct Serve {
    settings: PathBuf,
}

pub(crate) fn parser() -> CommandParser {
    let settings = long("settings").help("YAML file of the instance's settings").argument("FILE");
    settings
        .map(|settings| -> Box<dyn Command> { Box::new(Serve { settings }) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("serve")
        .help(HELP)
        .boxed()
}

impl Command for Serve {
    fn run(&self) -> Result<Exit, Error> {
        // Signal handling starts first: before that, a signal ends the process without a graceful
        // shutdown.
        let stop = Stop::default();
        let stop_on_signal = stop.clone();
        signals::on_shutdown_signal(move || stop_on_signal.request())?;
        let settings = Settings::read(&self.settings)?;
        telemetry::start_stderr_logs(settings.json_logs)?;
        let bound = Bound::new(&settings)?;
        instance::run(settings, bound, &stop)?;
        Ok(Exit::Success)
    }
}
