//! Caches the state of the feed on disk, so that it is available immediately after a restart.
//!
//! The replicated log remains authoritative: the cached state was committed, or announced by an
//! upstream, but may be outdated. Newer state replaces it as soon as it arrives.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use catalogue::Document;
use roster::Record;
use state::{AtomicFiles, DataFolder};

/// Name of the folder within the data folder.
const FOLDER: &str = "feed";

/// Name of the file with the committed document.
const DOCUMENT_FILE: &str = "document";

/// Name of the file with the announced upstreams.
const RECORDS_FILE: &str = "upstreams";

/// A write to the cache.
enum WriteJob {
    Document(Document),
    Records(Vec<Record>),
}

/// The state that was read from the cache.
#[derive(Default)]
pub(super) struct CachedState {
    pub(super) document: Option<Document>,
    pub(super) records: Vec<Record>,
}

/// Handle of the thread that writes the cache. The thread ends when the handle is dropped.
pub(super) struct DiskCache {
    jobs: Sender<WriteJob>,
}

impl DiskCache {
    /// Reads the cache in `data_folder` and starts the thread, or returns `None` if the folder
    /// cannot be used.
    pub(super) fn open(data_folder: &Path) -> Option<(Self, CachedState)> {
        let opened = DataFolder::open(&data_folder.join(FOLDER));
        let folder = opened
            .map_err(|error| {
                log::error!("cannot open the feed cache: {error}; continuing without persistence")
            })
            .ok()?;
        let files = AtomicFiles::new(folder);
        let cached = read_cached(&files);
        let (jobs, receiver) = channel();
        let thread = std::thread::Builder::new().name("shelf".to_string());
        match thread.spawn(move || write_jobs(files, &receiver)) {
            Ok(_) => Some((Self { jobs }, cached)),
            Err(error) => {
                log::error!(
                    "cannot start the cache thread: {error}; continuing without persistence"
                );
                None
            }
        }
    }

    /// Writes a committed document.
    pub(super) fn write_document(&self, document: Document) {
        self.send(WriteJob::Document(document));
    }

    /// Writes the records of upstreams.
    pub(super) fn write_records(&self, records: Vec<Record>) {
        self.send(WriteJob::Records(records));
    }

    fn send(&self, job: WriteJob) {
        if self.jobs.send(job).is_err() {
            log::debug!("cannot write the feed cache: the thread has ended");
        }
    }
}

fn read_cached(files: &AtomicFiles<DataFolder>) -> CachedState {
    let document = files.read(DOCUMENT_FILE).unwrap_or_else(|error| {
        log::warn!("cannot read the cached document: {error}; continuing without it");
        None
    });
    let records = files.read(RECORDS_FILE).unwrap_or_else(|error| {
        log::warn!("cannot read the cached upstreams: {error}; continuing without them");
        None
    });
    CachedState { document, records: records.unwrap_or_default() }
}

/// Writes the newest document and the newest records, and skips those that were superseded in the
/// meantime.
fn write_jobs(mut files: AtomicFiles<DataFolder>, receiver: &Receiver<WriteJob>) {
    while let Ok(first) = receiver.recv() {
        let (mut document, mut records) = (None, None);
        for job in std::iter::once(first).chain(receiver.try_iter()) {
            match job {
                WriteJob::Document(newest) => document = Some(newest),
                WriteJob::Records(newest) => records = Some(newest),
            }
        }
        let result = document.map_or(Ok(()), |document| files.replace(DOCUMENT_FILE, &document));
        let result =
            result.and(records.map_or(Ok(()), |records| files.replace(RECORDS_FILE, &records)));
        if let Err(error) = result {
            log::warn!("cannot write the feed cache: {error}; a restart may find outdated state");
        }
    }
}
