//! `platform`: runs one instance on the users' platform.

use bpaf::Parser;
use instance::Stop;
use relay::Bound;
use telemetry::Ceiling;

use crate::{Command, Entry, Error, Exit, signals};

const HELP: &str = "Runs one instance with the settings that the users' platform renders";
const EXAMPLES: &str = "Example: turmericrelay platform   (the platform names the settings file)";

struct Platform;

pub(crate) fn entry() -> Entry {
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
        // Before all else: until then a signal would end the process by itself.
        let stop = Stop::default();
        let asked = stop.clone();
        signals::outlive_hang_ups()?;
        signals::on_stop(move || asked.ask())?;
        let (settings, source) = platform::boot()?;
        let ceiling =
            Ceiling { lines: settings.logs.lines, bytes: settings.logs.bytes.as_bytes() as u64 };
        telemetry::start_trail(settings.instance.as_str(), ceiling)?;
        let bound = Bound::new(&settings)?;
        let ran = relay::run(settings, platform::interface(), source, bound, &stop);
        log::logger().flush();
        ran?;
        Ok(Exit::Done)
    }
}
