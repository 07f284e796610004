//! `platform`: runs one instance on the users' platform.

use bpaf::Parser;
use instance::Stop;
use relay::Bound;
use telemetry::LogRateLimit;

use crate::{Command, CommandParser, Error, Exit, signals};

const HELP: &str = "Runs one instance with the settings from the users' platform";
const EXAMPLES: &str = "Example: turmericrelay platform   (the platform names the settings file)";

struct Platform;

pub(crate) fn parser() -> CommandParser {
    bpaf::pure(())
        .map(|()| -> Box<dyn Command> { Box::new(Platform) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("platform")
        .help(HELP)
        .boxed()
}

impl Command for Platform {
    fn run(&self) -> Result<Exit, Error> {
        // Signal handling starts first: before that, a signal ends the process without a graceful
        // shutdown.
        let stop = Stop::default();
        let stop_on_signal = stop.clone();
        signals::ignore_hangups()?;
        signals::on_shutdown_signal(move || stop_on_signal.request())?;
        let (settings, source) = platform::boot()?;
        let limit = LogRateLimit {
            lines: settings.logs.lines,
            bytes: settings.logs.bytes.as_bytes() as u64,
        };
        telemetry::start_stdout_logs(settings.instance.as_str(), limit)?;
        let bound = Bound::new(&settings)?;
        let result = relay::run(settings, platform::interface(), source, bound, &stop);
        log::logger().flush();
        result?;
        Ok(Exit::Success)
    }
}
