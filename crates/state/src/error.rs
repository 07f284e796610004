//! Errors of the data folder and its storage thread.

use crate::Index;

/// Errors that make the data folder unusable. The process has to stop on each of them.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file system operation failed.
    #[error(
        "data folder \"{folder}\": {operation} \"{file}\" failed: {source}; \
         help: check free space, permissions and the disk, then restart"
    )]
    File {
        /// Path of the data folder.
        folder: String,
        /// The operation that failed.
        operation: &'static str,
        /// Name of the affected file; empty for the folder itself.
        file: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error(
        "data folder \"{folder}\" is used by another process; \
         help: stop that process or set another data_folder"
    )]
    Locked {
        /// Path of the data folder.
        folder: String,
    },
    /// The content of a synced file has changed since it was written.
    #[error(
        "data folder \"{folder}\": file \"{file}\" is damaged at byte {offset}: {problem}; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Damaged {
        /// Path of the data folder.
        folder: String,
        /// Name of the damaged file.
        file: String,
        /// Offset of the damage, in bytes from the start of the file.
        offset: usize,
        /// Description of the damage.
        problem: &'static str,
    },
    /// Entries are missing from the log.
    #[error(
        "data folder \"{folder}\": entry {index} is missing before file \"{file}\"; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Gap {
        /// Path of the data folder.
        folder: String,
        /// Name of the file that follows the gap.
        file: String,
        /// Index of the first missing entry.
        index: Index,
    },
    /// A required file does not exist.
    #[error(
        "data folder \"{folder}\": file \"{file}\" is missing; \
         help: move the folder away, the instance then comes back as a new voter"
    )]
    Missing {
        /// Path of the data folder.
        folder: String,
        /// Name or kind of the missing file.
        file: &'static str,
    },
    /// A value cannot be encoded for storage.
    #[error("file \"{file}\" cannot be encoded: {source}")]
    Encode {
        /// Name of the file that the value was meant for.
        file: String,
        /// Error from the encoder.
        source: postcard::Error,
    },
    /// The storage thread cannot be started.
    #[error("the storage thread cannot be started: {source}")]
    Thread {
        /// Error from the operating system.
        source: std::io::Error,
    },
}
