//! The data folder: checksummed segments of the log, snapshots, term and vote.

mod folder;
mod journal;
mod opening;
mod record;
mod sheet;
mod storage;

pub use folder::{DataFolder, Folder};
pub use journal::Journal;
pub use sheet::Sheets;
pub use storage::{Report, Storage};
