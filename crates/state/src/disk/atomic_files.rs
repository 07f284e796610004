//! Files that are replaced as a whole, for state that can be had again from elsewhere.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Folder, Journal};

/// Files of one folder, each with a checksum, each replaced atomically.
pub struct Sheets<F> {
    journal: Journal<F>,
}

impl<F> Sheets<F>
where
    F: Folder,
{
    /// The files of `folder`.
    pub fn new(folder: F) -> Self {
        Self { journal: Journal::new(folder, 0) }
    }

    /// Replaces the file `name` and syncs it with its folder.
    ///
    /// # Errors
    ///
    /// When the disk refuses.
    pub fn replace<T>(&mut self, name: &str, content: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        self.journal.replace(name, content)
    }

    /// Reads the file `name`; none when it does not exist.
    ///
    /// # Errors
    ///
    /// When it cannot be read or is damaged.
    pub fn read<T>(&self, name: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        self.journal.read_file(name)
    }
}
