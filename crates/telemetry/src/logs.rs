//! Logger that writes to standard error, as text or JSON.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Format of a text line: UTC time, level, target and message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Error from starting the logger.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration of the logger is invalid.
    #[error("cannot configure the logger: {0}")]
    Configuration(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process already has a logger.
    #[error("cannot start a second logger: {0}")]
    AlreadyStarted(#[from] log::SetLoggerError),
    /// The thread that writes the log lines cannot be started.
    #[error("cannot start the thread that writes the log: {source}")]
    Thread {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// Starts a logger that writes to standard error, as JSON lines if `as_json` is true and as text
/// otherwise.
///
/// # Errors
///
/// [`Error::AlreadyStarted`] if the process already has a logger, [`Error::Configuration`] if the
/// configuration of the logger is invalid.
pub fn start_stderr_logs(as_json: bool) -> Result<(), Error> {
    let encoder: Box<dyn Encode> = if as_json {
        Box::new(JsonEncoder::new())
    } else {
        Box::new(PatternEncoder::new(TEXT_PATTERN))
    };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
