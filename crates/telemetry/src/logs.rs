//! Log lines on standard error, as text or JSON.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Why logs could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration of the logs is wrong.
    #[error("logs cannot be configured: {0}")]
    Configuration(#[from] log4rs::config::runtime::ConfigErrors),
    /// Logs were started before.
    #[error("logs were started before: {0}")]
    Started(#[from] log::SetLoggerError),
    /// The system gives no thread.
    #[error("logs have no thread: {source}")]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Starts logs on standard error; as JSON lines when `as_json` holds.
///
/// # Errors
///
/// [`Error::Started`] when the process has a logger already.
pub fn start_logs(as_json: bool) -> Result<(), Error> {
    let encoder: Box<dyn Encode> =
        if as_json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(PATTERN)) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
