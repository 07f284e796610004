//! `serve`: runs one instance.

use std::path::PathBuf;

use bpaf::{Parser, long};
use instance::{Bound, Stop};
use settings::Settings;

use crate::{Command, Entry, Error, Exit, signals};

const HELP: &str = "Runs one instance until SIGTERM or SIGINT";
const EXAMPLES: &str = "Example: turmericrelay serve --settings giza-1.yaml";

struct Serve {
    settings: PathBuf,
}

pub(crate) fn entry() -> Entry {
    let settings = long("settings").help("YAML settings of the instance").argument("FILE");
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
        // Before all else: until then a signal would end the process by itself.
        let stop = Stop::default();
        let asked = stop.clone();
        signals::on_stop(move || asked.ask())?;
        let settings = Settings::read(&self.settings)?;
        telemetry::start_logs(settings.json_logs)?;
        let bound = Bound::new(&settings)?;
        instance::run(settings, bound, &stop)?;
        Ok(Exit::Done)
    }
}
