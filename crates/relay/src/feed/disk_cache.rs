//! Caches the state of the feed on disk, so that it is available immediately after a restart.
//!
//! The replicated log remains authoritative: the cached state was committed, or announced by an
//! upstream, but may be outdated. Newer state replaces it as soon as it arrives.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use catalogue::{Document, Number};
use evacuation::Orders;
use eventloop::Sender as MailboxSender;
use roster::Record;
use roster::departure::Departure;
use roster::durability::WriteResult;
use serde::Serialize;
use state::{AtomicFiles, DataFolder};

/// Name of the folder within the data folder.
const FOLDER: &str = "feed";

/// Name of the file with the committed document.
const DOCUMENT_FILE: &str = "document";

/// Name of the file with the announced upstreams.
const RECORDS_FILE: &str = "upstreams";

/// Name of the file with the upstreams that drain or left. It is small and written at once, because
/// upstreams wait for the write.
const LEAVES_FILE: &str = "leaves";

/// Name of the file with the evacuation orders. It is small and written at once, because operators
/// wait for the write.
const EVACUATIONS_FILE: &str = "evacuations";

/// A write to the cache.
enum WriteJob {
    Document(Document),
    Records(Vec<Record>),
    Leaves(StoredLeaves),
    Evacuations(Orders),
}

/// Leaves on disk. Earlier versions stored the records alone.
type StoredLeaves = (Vec<Record>, Vec<Departure>);

/// The end of a write that acknowledgements wait for.
pub(super) enum WriteEnd {
    Document(Number, WriteResult),
    Leaves(WriteResult),
    Evacuations(Orders, WriteResult),
}

/// The state that was read from the cache.
#[derive(Default)]
pub(super) struct CachedState {
    pub(super) document: Option<Document>,
    /// Records of upstreams; an upstream may have two.
    pub(super) records: Vec<Record>,
    /// Leaves that do not tell which announced run ends.
    pub(super) departures: Vec<Departure>,
    /// Evacuation orders, or `None` if the disk may have lost them.
    pub(super) evacuations: Option<Orders>,
}

/// Handle of the thread that writes the cache. The thread ends when the handle is dropped.
pub(super) struct DiskCache {
    jobs: Sender<WriteJob>,
}

impl DiskCache {
    /// Reads the cache in `data_folder` and starts the thread, or returns `None` if the folder
    /// cannot be used. The end of each write of a document or of leaves is sent to `write_ended`.
    pub(super) fn open(
        data_folder: &Path,
        write_ended: MailboxSender<WriteEnd>,
    ) -> Option<(Self, CachedState)> {
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
        match thread.spawn(move || write_jobs(files, &receiver, &write_ended)) {
            Ok(_) => Some((Self { jobs }, cached)),
            Err(error) => {
                log::error!(
                    "cannot start the cache thread: {error}; continuing without persistence"
                );
                None
            }
        }
    }

    /// Writes a committed document, and reports the end of the write.
    pub(super) fn write_document(&self, document: Document) {
        self.send(WriteJob::Document(document));
    }

    /// Writes the records of upstreams.
    pub(super) fn write_records(&self, records: Vec<Record>) {
        self.send(WriteJob::Records(records));
    }

    /// Writes the records of upstreams that drain or left, and the departures, and reports the end of
    /// the write.
    pub(super) fn write_leaves(&self, records: Vec<Record>, departures: Vec<Departure>) {
        self.send(WriteJob::Leaves((records, departures)));
    }

    /// Writes the evacuation orders, and reports the end of the write.
    pub(super) fn write_evacuations(&self, orders: Orders) {
        self.send(WriteJob::Evacuations(orders));
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
    let mut records = read_records(files, RECORDS_FILE);
    let (leaves, departures) = match files.read::<StoredLeaves>(LEAVES_FILE) {
        Ok(leaves) => leaves.unwrap_or_default(),
        // The file of an earlier version has no departures.
        Err(_) => (read_records(files, LEAVES_FILE), Vec::new()),
    };
    records.extend(leaves);
    // A folder with a document and without orders was written by a version that knows no orders.
    let has_no_orders = || document.as_ref().map(|_| Orders::default());
    let evacuations = match files.read(EVACUATIONS_FILE) {
        Ok(orders) => orders.or_else(has_no_orders),
        Err(error) => {
            log::warn!("cannot read the cached evacuations: {error}; continuing without them");
            None
        }
    };
    CachedState { document, records, departures, evacuations }
}

fn read_records(files: &AtomicFiles<DataFolder>, file: &str) -> Vec<Record> {
    let records = files.read(file).unwrap_or_else(|error| {
        log::warn!("cannot read the cached upstreams: {error}; continuing without them");
        None
    });
    records.unwrap_or_default()
}

/// Writes the newest state of each file, and skips what was superseded in the meantime. Evacuations
/// and leaves are written first.
fn write_jobs(
    mut files: AtomicFiles<DataFolder>,
    receiver: &Receiver<WriteJob>,
    write_ended: &MailboxSender<WriteEnd>,
) {
    while let Ok(first) = receiver.recv() {
        let (mut document, mut records, mut leaves, mut evacuations) = (None, None, None, None);
        for job in std::iter::once(first).chain(receiver.try_iter()) {
            match job {
                WriteJob::Document(newest) => document = Some(newest),
                WriteJob::Records(newest) => records = Some(newest),
                WriteJob::Leaves(newest) => leaves = Some(newest),
                WriteJob::Evacuations(newest) => evacuations = Some(newest),
            }
        }
        if let Some(orders) = evacuations {
            let result = replace(&mut files, EVACUATIONS_FILE, &orders);
            write_ended.send(WriteEnd::Evacuations(orders, result));
        }
        if let Some(leaves) = leaves {
            let result = replace(&mut files, LEAVES_FILE, &leaves);
            write_ended.send(WriteEnd::Leaves(result));
        }
        if let Some(document) = document {
            let result = replace(&mut files, DOCUMENT_FILE, &document);
            write_ended.send(WriteEnd::Document(document.number, result));
        }
        if let Some(records) = records {
            replace(&mut files, RECORDS_FILE, &records);
        }
    }
}

fn replace<T>(files: &mut AtomicFiles<DataFolder>, file: &str, content: &T) -> WriteResult
where
    T: Serialize,
{
    match files.replace(file, content) {
        Ok(()) => WriteResult::Stored,
        Err(error) => {
            log::warn!("cannot write the feed cache: {error}; a restart may find outdated state");
            WriteResult::Failed
        }
    }
}
