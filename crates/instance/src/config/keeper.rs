//! Keeps the newest revision in the data folder, on a thread of its own.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};

use declare::{Mark, Revision, View};

const FOLDER: &str = "declarations";
const FILE: &str = "revision";
const TEMPORARY_FILE: &str = "revision.new";
const MAGIC: &[u8] = b"turmericrelay revision 1\n";
const MARK_BYTES: usize = 16;

/// What the data folder holds.
pub(crate) enum Kept {
    /// No revision.
    Nothing,
    /// A whole revision.
    Whole(Box<View>),
    /// A file that cannot be used, and why.
    Damaged {
        /// The file.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// Outcome of keeping a revision.
pub(crate) struct Stored {
    /// The revision.
    pub(crate) revision: Revision,
    /// What failed, if something did.
    pub(crate) problem: Option<String>,
}

struct Job {
    revision: Revision,
    bytes: Vec<u8>,
}

/// The thread that writes revisions.
pub(crate) struct Keeper {
    jobs: Sender<Job>,
}

fn folder(data_folder: &Path) -> PathBuf {
    data_folder.join(FOLDER)
}

/// Reads the revision that `data_folder` holds.
pub(crate) fn read(data_folder: &Path) -> Kept {
    let path = folder(data_folder).join(FILE);
    let damaged = |problem: String| Kept::Damaged { path: path.display().to_string(), problem };
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Kept::Nothing,
        Err(error) => return damaged(error.to_string()),
    };
    match open(&bytes) {
        Ok(view) => Kept::Whole(Box::new(view)),
        Err(problem) => damaged(problem),
    }
}

fn open(bytes: &[u8]) -> Result<View, String> {
    let rest = bytes.strip_prefix(MAGIC).ok_or("it does not start like a revision")?;
    let (mark, payload) = rest.split_at_checked(MARK_BYTES).ok_or("it is truncated")?;
    if Mark::of([payload]).as_bytes() != mark {
        return Err("its content does not match its hash".to_string());
    }
    View::from_bytes(payload).map_err(|error| error.to_string())
}

fn write(folder: &Path, payload: &[u8]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let temporary = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(MAGIC)?;
    file.write_all(Mark::of([payload]).as_bytes())?;
    file.write_all(payload)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}

fn keep(folder: &Path, jobs: &Receiver<Job>, stored: &eventloop::Sender<Stored>) {
    while let Ok(job) = jobs.recv() {
        let problem = write(folder, &job.bytes).err().map(|error| {
            forget(folder);
            format!("{}: {error}", folder.join(FILE).display())
        });
        stored.send(Stored { revision: job.revision, problem });
    }
}

/// Removes an outdated revision, so that the next run asks peers instead of going back to it.
fn forget(folder: &Path) {
    if let Err(error) = fs::remove_file(folder.join(FILE))
        && error.kind() != io::ErrorKind::NotFound
    {
        log::error!("outdated revision {}: {error}", folder.join(FILE).display());
    }
}

impl Keeper {
    /// Starts the thread; `stored` gets the outcome of each write.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub(crate) fn start(data_folder: &Path, stored: eventloop::Sender<Stored>) -> io::Result<Self> {
        let folder = folder(data_folder);
        let (jobs, received) = channel();
        std::thread::Builder::new()
            .name("declarations".to_string())
            .spawn(move || keep(&folder, &received, &stored))?;
        Ok(Self { jobs })
    }

    /// Writes `view`.
    pub(crate) fn store(&self, view: &View) {
        let job = Job { revision: view.revision(), bytes: view.to_bytes() };
        if self.jobs.send(job).is_err() {
            log::error!("the thread that keeps declarations has ended");
        }
    }
}
