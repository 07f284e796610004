//! Errors and exit statuses of commands.

use std::process::ExitCode;

/// Exit status of a command; the number is the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that has no exit code of its own.
    Failure = 1,
    /// The command line is invalid.
    InvalidUsage = 2,
    /// A file or the content of a request is invalid.
    InvalidFile = 3,
    /// The request conflicts with the current state of the fleet.
    Conflict = 4,
    /// No instance answered, or the fleet was temporarily unavailable.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(status: Exit) -> Self {
        Self::from(status as u8)
    }
}

/// Error from a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings of an instance cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// An instance cannot start, or ended because of an error.
    #[error(transparent)]
    Instance(#[from] instance::Error),
    /// An instance on the platform cannot start, or ended because of an error.
    #[error(transparent)]
    Relay(#[from] relay::Error),
    /// The platform does not provide valid settings.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// A stand-in upstream cannot start.
    #[error(transparent)]
    StandIn(#[from] standin::Error),
    /// The measurement failed.
    #[error(transparent)]
    Measure(#[from] measure::Error),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] names::Error),
    /// The logger cannot be started.
    #[error(transparent)]
    Logging(#[from] telemetry::Error),
    /// Declarations, or an argument that becomes part of them, are invalid.
    #[error(transparent)]
    Declarations(#[from] declare::Error),
    /// The fleet refused the request.
    #[error("{message} ({code})")]
    Refused {
        /// HTTP status code of the response.
        status: u16,
        /// Error code for programs.
        code: String,
        /// Reason for the refusal and its remedy.
        message: String,
    },
    /// No instance answered.
    #[error("no instance answered: {reason}; help: give other addresses with --instance")]
    Unreachable {
        /// Error from the instance that was tried last.
        reason: String,
    },
    /// A file cannot be read or is invalid.
    #[error("{path}: {reason}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Reason why the file is invalid, and its remedy if there is one.
        reason: String,
    },
    /// Files are compared with something that they have nothing in common with.
    #[error("{problem}; help: {help}")]
    Incomparable {
        /// What is compared, and why it cannot be.
        problem: &'static str,
        /// Description of the remedy.
        help: &'static str,
    },
    /// A system call failed.
    #[error("{context}: {source}")]
    System {
        /// Operation that failed.
        context: &'static str,
        /// Error from the operating system.
        source: std::io::Error,
    },
}

impl Error {
    /// Returns the exit status of a command that fails with this error.
    pub fn exit_status(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Invalid { .. } | Self::Declarations(_) => Exit::InvalidFile,
            Self::Incomparable { .. } => Exit::InvalidUsage,
            Self::Refused { status: 400, .. } => Exit::InvalidFile,
            Self::Refused { status: 409, .. } => Exit::Conflict,
            Self::Refused { status: 503 | 504, .. } | Self::Unreachable { .. } => Exit::Unreachable,
            _ => Exit::Failure,
        }
    }
}
