//! The command line: one file a command.

use std::process::ExitCode;

/// Parses the command line and runs the chosen command.
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
