//! Access to the files of one folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::Error;

/// Operations on the files of one folder. Writes and renames are durable only after the
/// corresponding sync.
pub trait Folder: Send {
    /// Returns the name of the folder for error messages.
    fn label(&self) -> String;

    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    ///
    /// Error from the operating system, as for all operations.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Reads the whole content of a file.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file and creates it if necessary.
    ///
    /// # Errors
    ///
    /// Error from the operating system. A part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()>;

    /// Syncs the content of a file to disk.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the directory, which makes created, renamed and removed file names durable.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Renames a file and replaces any existing file of the new name.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Error from the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

const LOCK_FILE: &str = "lock";

/// A directory in the file system, locked against use by other processes.
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
    /// The most recently used file and its name.
    open: Option<(String, File)>,
}

impl DataFolder {
    /// Opens the directory at `path`, which is created if necessary, and locks it.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the directory cannot be written, [`Error::Locked`] if another process
    /// holds its lock.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let folder = path.display().to_string();
        let file_error = |operation, file: &str| {
            let (folder, file) = (folder.clone(), file.to_string());
            move |source| Error::File { folder, operation, file, source }
        };
        std::fs::create_dir_all(path).map_err(file_error("create", ""))?;
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(LOCK_FILE))
            .map_err(file_error("open", LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_path_buf(), _lock: lock, open: None }),
            Err(TryLockError::WouldBlock) => Err(Error::Locked { folder }),
            Err(TryLockError::Error(source)) => Err(file_error("lock", LOCK_FILE)(source)),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = match self.open.take() {
            Some(open) if open.0 == name => open,
            _ => {
                let path = self.path.join(name);
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                (name.to_string(), file)
            }
        };
        Ok(&mut self.open.insert(open).1)
    }
}

impl Folder for DataFolder {
    fn label(&self) -> String {
        self.path.display().to_string()
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name != LOCK_FILE);
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()> {
        self.file(name)?.set_len(length as u64)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
}
