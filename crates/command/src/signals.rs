//! Signals that ask for a planned stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::Error;

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
