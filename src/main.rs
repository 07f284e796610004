//! The `turmericrelay` program: parses the command line and runs one command.

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
