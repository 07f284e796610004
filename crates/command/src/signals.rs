//! Signals that ask for a planned stop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::Error;

/// Lets the process live on at SIGHUP, for instances that look for changed settings by themselves.
pub(crate) fn outlive_hang_ups() -> Result<(), Error> {
    let system = |source| Error::System { what: "signals cannot be received", source };
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map_err(system)?;
    Ok(())
}

/// Calls `stop` at the first SIGTERM or SIGINT, on a thread of its own.
pub(crate) fn on_stop<F>(stop: F) -> Result<(), Error>
where
    F: FnOnce() + Send + 'static,
{
    let system = |source| Error::System { what: "signals cannot be received", source };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(system)?;
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            if signals.forever().next().is_some() {
                stop();
            }
        })
        .map_err(system)?;
    Ok(())
}
