//! Atomically replaced files, for state that can be recovered from another source.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Folder, Journal};

/// Checksummed files in one folder, each of which is replaced atomically.
pub struct AtomicFiles<F> {
    journal: Journal<F>,
}

impl<F> AtomicFiles<F>
where
    F: Folder,
{
    /// Creates the store over the files of `folder`.
    pub fn new(folder: F) -> Self {
        Self { journal: Journal::new(folder, 0) }
    }

    /// Replaces the content of the file `name` and syncs the file and its folder.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if a file operation fails, [`Error::Encode`] if `content` cannot be encoded.
    pub fn replace<T>(&mut self, name: &str, content: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        self.journal.replace(name, content)
    }

    /// Reads the file `name`. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the file cannot be read, [`Error::Damaged`] if its content is invalid.
    pub fn read<T>(&self, name: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        self.journal.read_file(name)
    }
}
