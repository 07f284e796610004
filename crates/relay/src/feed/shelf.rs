//! Keeps what the feed knows on disk, so that it is there at once after a restart.
//!
//! The replicated log remains the only truth: what is read here was committed, or announced by an
//! upstream, but may be outdated. Newer news replace it as soon as they come.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use catalogue::Document;
use roster::Record;
use state::{DataFolder, Sheets};

/// Folder within the data folder.
const FOLDER: &str = "feed";

/// File of the committed document.
const DOCUMENT_FILE: &str = "document";

/// File of the announced upstreams.
const RECORDS_FILE: &str = "upstreams";

/// Something to be kept.
enum Job {
    Document(Document),
    Records(Vec<Record>),
}

/// What was kept.
#[derive(Default)]
pub(super) struct Kept {
    pub(super) document: Option<Document>,
    pub(super) records: Vec<Record>,
}

/// Hands what is to be kept to a thread, which ends with this handle.
pub(super) struct Shelf {
    jobs: Sender<Job>,
}

impl Shelf {
    /// Reads what `data_folder` holds and starts the thread; none when the folder cannot be used.
    pub(super) fn open(data_folder: &Path) -> Option<(Self, Kept)> {
        let opened = DataFolder::open(&data_folder.join(FOLDER));
        let sheets =
            opened.map_err(|error| log::error!("nothing is kept on disk: {error}")).ok()?;
        let sheets = Sheets::new(sheets);
        let kept = read(&sheets);
        let (jobs, waiting) = channel();
        let thread = std::thread::Builder::new().name("shelf".to_string());
        match thread.spawn(move || keep(sheets, &waiting)) {
            Ok(_) => Some((Self { jobs }, kept)),
            Err(error) => {
                log::error!("nothing is kept on disk: {error}");
                None
            }
        }
    }

    /// Keeps a committed document.
    pub(super) fn keep_document(&self, document: Document) {
        self.send(Job::Document(document));
    }

    /// Keeps the records of upstreams.
    pub(super) fn keep_records(&self, records: Vec<Record>) {
        self.send(Job::Records(records));
    }

    fn send(&self, job: Job) {
        if self.jobs.send(job).is_err() {
            log::debug!("nothing is kept on disk: the thread has ended");
        }
    }
}

fn read(sheets: &Sheets<DataFolder>) -> Kept {
    let document = sheets.read(DOCUMENT_FILE).unwrap_or_else(|error| {
        log::warn!("the kept document is not used: {error}");
        None
    });
    let records = sheets.read(RECORDS_FILE).unwrap_or_else(|error| {
        log::warn!("the kept upstreams are not used: {error}");
        None
    });
    Kept { document, records: records.unwrap_or_default() }
}

/// Writes the newest of each kind; those that were replaced meanwhile are left out.
fn keep(mut sheets: Sheets<DataFolder>, waiting: &Receiver<Job>) {
    while let Ok(first) = waiting.recv() {
        let (mut document, mut records) = (None, None);
        for job in std::iter::once(first).chain(waiting.try_iter()) {
            match job {
                Job::Document(newest) => document = Some(newest),
                Job::Records(newest) => records = Some(newest),
            }
        }
        let kept = document.map_or(Ok(()), |one| sheets.replace(DOCUMENT_FILE, &one));
        let kept = kept.and(records.map_or(Ok(()), |all| sheets.replace(RECORDS_FILE, &all)));
        if let Err(error) = kept {
            log::warn!("the disk did not keep what the feed knows: {error}");
        }
    }
}
