//! Handling of SIGTERM, SIGINT and SIGHUP.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::Error;

/// Keeps the process running after SIGHUP, whose default action ends it. Instances need no signal
/// to reload their settings because they look for changed settings themselves.
pub(crate) fn ignore_hangups() -> Result<(), Error> {
    let to_error = |source| Error::System { context: "cannot set up signal handling", source };
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map_err(to_error)?;
    Ok(())
}

/// Calls `shut_down` on a separate thread after the first SIGTERM or SIGINT.
pub(crate) fn on_shutdown_signal<F>(shut_down: F) -> Result<(), Error>
where
    F: FnOnce() + Send + 'static,
{
    let to_error = |source| Error::System { context: "cannot set up signal handling", source };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(to_error)?;
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            if signals.forever().next().is_some() {
                shut_down();
            }
        })
        .map_err(to_error)?;
    Ok(())
}
