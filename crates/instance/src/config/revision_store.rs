//! Stores the newest revision in the data folder on a dedicated thread.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};

use declare::{Mark, Revision, View};

const FOLDER_NAME: &str = "declarations";
const FILE_NAME: &str = "revision";
const TEMPORARY_FILE_NAME: &str = "revision.new";
const MAGIC: &[u8] = b"turmericrelay revision 1\n";
const HASH_BYTES: usize = 16;

/// State of the revision file in the data folder.
pub(crate) enum StoredRevision {
    /// The file does not exist.
    Missing,
    /// The file holds a valid revision.
    Valid(Box<View>),
    /// The file cannot be read or decoded.
    Corrupt {
        /// Path of the file.
        path: String,
        /// Error from reading or decoding the file.
        problem: String,
    },
}

/// Outcome of writing a revision.
pub(crate) struct StoreOutcome {
    /// Revision that was written or failed to be written.
    pub(crate) revision: Revision,
    /// Error message if the write failed.
    pub(crate) problem: Option<String>,
}

struct WriteJob {
    revision: Revision,
    bytes: Vec<u8>,
}

/// Handle of the thread that writes revisions.
pub(crate) struct RevisionStore {
    jobs: Sender<WriteJob>,
}

fn revision_folder(data_folder: &Path) -> PathBuf {
    data_folder.join(FOLDER_NAME)
}

/// Reads the revision that is stored in `data_folder`.
pub(crate) fn read(data_folder: &Path) -> StoredRevision {
    let path = revision_folder(data_folder).join(FILE_NAME);
    let corrupt =
        |problem: String| StoredRevision::Corrupt { path: path.display().to_string(), problem };
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return StoredRevision::Missing,
        Err(error) => return corrupt(error.to_string()),
    };
    match decode(&bytes) {
        Ok(view) => StoredRevision::Valid(Box::new(view)),
        Err(problem) => corrupt(problem),
    }
}

fn decode(bytes: &[u8]) -> Result<View, String> {
    let rest =
        bytes.strip_prefix(MAGIC).ok_or("the file does not start with the header of a revision")?;
    let (hash, payload) = rest.split_at_checked(HASH_BYTES).ok_or("the file is truncated")?;
    if Mark::of([payload]).as_bytes() != hash {
        return Err("the content does not match the stored hash".to_string());
    }
    View::from_bytes(payload).map_err(|error| error.to_string())
}

fn write(folder: &Path, payload: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(MAGIC)?;
    file.write_all(Mark::of([payload]).as_bytes())?;
    file.write_all(payload)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}

fn run_writer(
    folder: &Path,
    jobs: &Receiver<WriteJob>,
    outcomes: &eventloop::Sender<StoreOutcome>,
) {
    while let Ok(job) = jobs.recv() {
        let problem = write(folder, &job.bytes).err().map(|error| {
            remove_outdated(folder);
            format!("{}: {error}", folder.join(FILE_NAME).display())
        });
        outcomes.send(StoreOutcome { revision: job.revision, problem });
    }
}

/// Removes the file after a failed write, so that the next run asks its peers instead of going
/// back to an outdated revision.
fn remove_outdated(folder: &Path) {
    if let Err(error) = fs::remove_file(folder.join(FILE_NAME))
        && error.kind() != io::ErrorKind::NotFound
    {
        log::error!(
            "cannot remove the outdated revision {}: {error}; the next run may start from it",
            folder.join(FILE_NAME).display()
        );
    }
}

impl RevisionStore {
    /// Starts the thread, which sends the outcome of each write to `outcomes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot create the thread.
    pub(crate) fn start(
        data_folder: &Path,
        outcomes: eventloop::Sender<StoreOutcome>,
    ) -> io::Result<Self> {
        let folder = revision_folder(data_folder);
        let (jobs, received_jobs) = channel();
        std::thread::Builder::new()
            .name("declarations".to_string())
            .spawn(move || run_writer(&folder, &received_jobs, &outcomes))?;
        Ok(Self { jobs })
    }

    /// Queues a write of the revision in `view`.
    pub(crate) fn store(&self, view: &View) {
        let job = WriteJob { revision: view.revision(), bytes: view.to_bytes() };
        if self.jobs.send(job).is_err() {
            log::error!("the thread that writes revisions has ended; the revision is not stored");
        }
    }
}
