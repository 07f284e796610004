//! Errors of the data folder.

use crate::Index;

/// Why the data folder cannot be used. The process has to stop on each of them.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused an operation.
    #[error(
        "data folder \"{folder}\": {operation} \"{file}\" failed: {source}; \
         help: check free space, permissions and the disk, then restart"
    )]
    File {
        /// The data folder.
        folder: String,
        /// What was done.
        operation: &'static str,
        /// To which file.
        file: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[error(
        "data folder \"{folder}\" is used by another process; \
         help: stop that process or set another data_folder"
    )]
    Locked {
        /// The data folder.
        folder: String,
    },
    /// A file that was synced has changed.
    #[error(
        "data folder \"{folder}\": file \"{file}\" is damaged at byte {offset}: {problem}; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Damaged {
        /// The data folder.
        folder: String,
        /// The file.
        file: String,
        /// Where the damage begins.
        offset: usize,
        /// What is wrong there.
        problem: &'static str,
    },
    /// Entries are missing.
    #[error(
        "data folder \"{folder}\": entry {index} is missing before file \"{file}\"; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Gap {
        /// The data folder.
        folder: String,
        /// The file after the gap.
        file: String,
        /// The first missing entry.
        index: Index,
    },
    /// A file that must exist does not.
    #[error(
        "data folder \"{folder}\": file \"{file}\" is missing; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Missing {
        /// The data folder.
        folder: String,
        /// The file.
        file: &'static str,
    },
    /// Something cannot be encoded.
    #[error("file \"{file}\" cannot be encoded: {source}")]
    Encode {
        /// The file that it was meant for.
        file: String,
        /// The codec's error.
        source: postcard::Error,
    },
    /// The storage thread cannot be started.
    #[error("the storage thread cannot be started: {source}")]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
}
