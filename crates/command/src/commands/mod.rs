//! All commands.

mod apply;
mod audit;
mod check;
mod dev;
mod diff;
mod drain;
mod explain;
mod fleet;
mod get;
mod hash_key;
mod history;
mod measure;
mod platform;
mod rollback;
mod serve;
mod stand_in;
mod voters;

use crate::Entry;

/// The parsers of all commands, in the order of the help text.
pub(crate) fn all() -> Vec<Entry> {
    vec![
        serve::entry(),
        platform::entry(),
        dev::entry(),
        check::entry(),
        apply::entry(),
        get::entry(),
        diff::entry(),
        history::entry(),
        rollback::entry(),
        audit::entry(),
        fleet::entry(),
        drain::entry(),
        explain::entry(),
        voters::entry(),
        hash_key::entry(),
        stand_in::entry(),
        measure::entry(),
    ]
}
