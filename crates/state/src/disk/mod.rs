//! The data folder: checksummed log segments, snapshots, and the current term and vote.

mod atomic_files;
mod folder;
mod journal;
mod record;
mod recovery;
mod storage;

pub use atomic_files::AtomicFiles;
pub use folder::{DataFolder, Folder};
pub use journal::Journal;
pub use storage::{Storage, StorageEvent};
