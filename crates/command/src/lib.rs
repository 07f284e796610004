//! The command line: one file a command, registered in one list.

mod commands;
mod error;
mod files;
mod fleet;
mod signals;
mod story;
mod table;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser};

pub use error::{Error, Exit};

/// A parsed command.
trait Command {
    /// Runs the command.
    fn run(&self) -> Result<Exit, Error>;
}

/// The parser of one command.
type Entry = Box<dyn Parser<Box<dyn Command>>>;

fn options() -> OptionParser<Box<dyn Command>> {
    bpaf::choice(commands::all())
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Router fleet between callers and upstreams for returning chats")
        .footer(
            "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid file, \
             4 conflict, 5 fleet not reachable",
        )
}

/// Parses the command line and runs the chosen command.
pub fn run() -> ExitCode {
    let command = match options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return match failure.exit_code() {
                0 => Exit::Done.into(),
                _ => Exit::Usage.into(),
            };
        }
    };
    match command.run() {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("turmericrelay: {error}");
            error.exit().into()
        }
    }
}
