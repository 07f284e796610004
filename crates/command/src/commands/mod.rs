//! All commands.

mod check;
mod dev;
mod hash_key;
mod measure;
mod serve;
mod stand_in;

use crate::Entry;

/// The parsers of all commands, in the order of the help text.
pub(crate) fn all() -> Vec<Entry> {
    vec![
        serve::entry(),
        dev::entry(),
        check::entry(),
        hash_key::entry(),
        stand_in::entry(),
        measure::entry(),
    ]
}
