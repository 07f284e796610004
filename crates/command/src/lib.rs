//! Command line interface. Each command has its own module, and `commands::all` lists the parsers
//! of all commands.

mod checked;
mod commands;
mod difference;
mod error;
mod files;
mod fleet;
mod signals;
mod table;
mod timeline;
mod warning;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser};

pub use error::{Error, Exit};

/// Command whose arguments have been parsed.
trait Command {
    /// Runs the command to its end and returns the exit status of the process.
    fn run(&self) -> Result<Exit, Error>;
}

/// Parser of the name and arguments of one command.
type CommandParser = Box<dyn Parser<Box<dyn Command>>>;

fn command_line_parser() -> OptionParser<Box<dyn Command>> {
    bpaf::choice(commands::all())
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Fleet of routers between callers and upstreams for multi-turn chats")
        .footer(
            "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid file, \
             4 conflict, 5 fleet unreachable",
        )
}

/// Parses the command line, runs the command and returns the exit code of the process. Errors are
/// printed to standard error.
pub fn run() -> ExitCode {
    let command = match command_line_parser().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return match failure.exit_code() {
                0 => Exit::Success.into(),
                _ => Exit::InvalidUsage.into(),
            };
        }
    };
    match command.run() {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("turmericrelay: {error}");
            error.exit_status().into()
        }
    }
}
