//! Errors and exit codes of commands.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked.
    Done = 0,
    /// It failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file is not valid.
    Invalid = 3,
    /// What it was asked contradicts the fleet's state.
    Conflict = 4,
    /// No instance answered.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The instance could not start or had to end.
    #[error(transparent)]
    Instance(#[from] instance::Error),
    /// The instance could not start on the platform or had to end.
    #[error(transparent)]
    Relay(#[from] relay::Error),
    /// The platform gives no settings.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The stand-in could not start.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// The measurement could not be made.
    #[error(transparent)]
    Measure(#[from] measure::Error),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] names::Error),
    /// Logs could not be started.
    #[error(transparent)]
    Logs(#[from] telemetry::Error),
    /// Declarations or an argument that stands in them are not valid.
    #[error(transparent)]
    Declarations(#[from] declare::Error),
    /// The fleet refused what it was asked.
    #[error("{message} ({code})")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Short code for programs.
        code: String,
        /// What is wrong and how to mend it.
        message: String,
    },
    /// No instance gave an answer.
    #[error("no instance answered: {problem}; help: name others with --instance")]
    Unreachable {
        /// What the last one did.
        problem: String,
    },
    /// A file is not valid.
    #[error("{path}: {problem}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A system call failed.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
}

impl Error {
    /// The exit code that goes with the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Invalid { .. } | Self::Declarations(_) => Exit::Invalid,
            Self::Refused { status: 400, .. } => Exit::Invalid,
            Self::Refused { status: 409, .. } => Exit::Conflict,
            Self::Refused { status: 503 | 504, .. } | Self::Unreachable { .. } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }
}
