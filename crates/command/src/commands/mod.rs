//! Commands of the program.

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

use crate::CommandParser;

/// Returns the parsers of all commands, in the order of the help text.
pub(crate) fn all() -> Vec<CommandParser> {
    vec![
        serve::parser(),
        platform::parser(),
        dev::parser(),
        check::parser(),
        apply::parser(),
        get::parser(),
        diff::parser(),
        history::parser(),
        rollback::parser(),
        audit::parser(),
        fleet::parser(),
        drain::parser(),
        explain::parser(),
        voters::parser(),
        hash_key::parser(),
        stand_in::parser(),
        measure::parser(),
    ]
}
