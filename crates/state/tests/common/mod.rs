//! An in-memory folder that loses unsynced data in a simulated crash.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

mod checks;
pub mod cluster;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use state::Folder;

const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    /// Number of synced bytes.
    synced: usize,
}

/// File names, mapped to indices in [`Files::files`].
type Names = BTreeMap<String, usize>;

#[derive(Debug, Clone, Default)]
struct Files {
    files: Vec<File>,
    names: Names,
    /// Contents of `names` before each change since the last sync.
    previous_names: Vec<Names>,
    operations: usize,
    /// Number of operations after which all further ones fail.
    fails_at: Option<usize>,
    /// Number of writes until the disk is full, or `None` if it is not about to be.
    free_writes: Option<usize>,
    has_failed: bool,
}

/// In-memory folder. Clones share the same files, because a folder outlives the process that uses
/// it.
#[derive(Debug, Clone, Default)]
pub struct MemoryFolder {
    files: Arc<Mutex<Files>>,
}

impl MemoryFolder {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.files.lock().unwrap()
    }

    /// Returns a copy with independent files.
    pub fn fork(&self) -> Self {
        Self { files: Arc::new(Mutex::new(self.files().clone())) }
    }

    /// Makes all operations fail after `count` more operations have succeeded.
    pub fn fail_after(&self, count: usize) {
        let mut files = self.files();
        files.fails_at = Some(files.operations + count);
    }

    /// Makes all writes fail once `count` more of them have succeeded, as on a full disk. Other
    /// operations succeed.
    pub fn fill_after(&self, count: usize) {
        self.files().free_writes = Some(count);
    }

    /// Makes room on the disk. Returns whether a write has failed since it was full.
    pub fn make_room(&self) -> bool {
        let mut files = self.files();
        files.free_writes = None;
        std::mem::take(&mut files.has_failed)
    }

    pub fn operations(&self) -> usize {
        self.files().operations
    }

    pub fn has_failed(&self) -> bool {
        self.files().has_failed
    }

    /// Simulates a machine crash. Each file loses a part of its unsynced data, and the newest
    /// unsynced name changes may be lost.
    pub fn crash(&self, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut files = self.files();
        files.fails_at = None;
        files.has_failed = false;
        if !files.previous_names.is_empty() {
            let kept = random.random_range(0..=files.previous_names.len());
            if kept < files.previous_names.len() {
                files.names = files.previous_names[kept].clone();
            }
        }
        files.previous_names.clear();
        for file in &mut files.files {
            let kept = random.random_range(file.synced..=file.bytes.len());
            let zeros = file.bytes.len() - kept;
            file.bytes.truncate(kept);
            if random.random_range(0..4) == 0 {
                let start = kept.next_multiple_of(SECTOR_BYTES).min(kept + zeros);
                file.bytes.truncate(start.min(kept));
                let lost = file.bytes.len() / SECTOR_BYTES * SECTOR_BYTES;
                file.bytes.truncate(lost.max(file.synced));
                file.bytes.resize(kept + zeros, 0);
            }
            file.synced = file.bytes.len();
        }
    }

    /// Changes the content of a file, as a disk error would.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut files = self.files();
        let number = files.names[name];
        change(&mut files.files[number].bytes);
        files.files[number].synced = files.files[number].bytes.len();
    }

    pub fn erase(&self, name: &str) {
        self.files().names.remove(name);
    }
}

impl Files {
    fn count(&mut self) -> io::Result<()> {
        self.operations += 1;
        if self.fails_at.is_some_and(|fails_at| self.operations > fails_at) {
            self.has_failed = true;
            return Err(io::Error::other("no space left in the fake folder"));
        }
        Ok(())
    }

    fn use_space(&mut self) -> io::Result<()> {
        match &mut self.free_writes {
            None => Ok(()),
            Some(0) => {
                self.has_failed = true;
                Err(io::Error::new(io::ErrorKind::StorageFull, "the fake disk is full"))
            }
            Some(count) => {
                *count -= 1;
                Ok(())
            }
        }
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: impl FnOnce(&mut Names)) {
        self.previous_names.push(self.names.clone());
        change(&mut self.names);
    }
}

impl Folder for MemoryFolder {
    fn label(&self) -> String {
        "memory".to_string()
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let files = self.files();
        Ok(files.files[files.find(name)?].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        let counted = files.count();
        if files.find(name).is_err() {
            let number = files.files.len();
            files.files.push(File::default());
            files.change_names(|names| {
                names.insert(name.to_string(), number);
            });
        }
        let number = files.find(name)?;
        // A failed write may have written a part of the bytes.
        let counted = counted.and_then(|()| files.use_space());
        let length = if counted.is_ok() { bytes.len() } else { bytes.len() / 2 };
        files.files[number].bytes.extend_from_slice(&bytes[..length]);
        counted
    }

    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()> {
        let mut files = self.files();
        files.count()?;
        let number = files.find(name)?;
        let file = &mut files.files[number];
        file.bytes.truncate(length);
        file.synced = file.synced.min(length);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.files();
        files.count()?;
        let number = files.find(name)?;
        files.files[number].synced = files.files[number].bytes.len();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut files = self.files();
        files.count()?;
        files.previous_names.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files();
        files.count()?;
        let number = files.find(from)?;
        files.change_names(|names| {
            names.remove(from);
            names.insert(to.to_string(), number);
        });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.files();
        files.count()?;
        files.find(name)?;
        files.change_names(|names| {
            names.remove(name);
        });
        Ok(())
    }
}
