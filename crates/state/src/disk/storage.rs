//! The thread that owns the data folder.

use std::sync::mpsc::{Receiver, Sender, channel};

use crate::{Error, Folder, Journal, Recovered, VoterId, Write};

/// Event reported by the storage thread.
#[derive(Debug)]
pub enum StorageEvent {
    /// The data folder was opened and read.
    Opened {
        /// Identifier of the data folder.
        voter: VoterId,
        /// Recovered state.
        recovered: Box<Recovered>,
    },
    /// All writes up to and including `write_number` are synced.
    Synced {
        /// [`Write::write_number`] of the last synced write.
        write_number: u64,
    },
    /// The data folder cannot be used; the process must stop.
    Failed(Error),
}

/// Handle that queues writes for the storage thread. The thread ends when the handle is dropped.
pub struct Storage {
    writes: Sender<Write>,
}

impl Storage {
    /// Starts the thread, which opens the folder returned by `open`. A new folder gets the
    /// identifier `new_voter`.
    ///
    /// # Errors
    ///
    /// [`Error::Thread`] if the operating system cannot start a thread.
    pub fn start<O, F, R>(open: O, new_voter: VoterId, report: R) -> Result<Self, Error>
    where
        O: FnOnce() -> Result<F, Error> + Send + 'static,
        F: Folder,
        R: Fn(StorageEvent) + Send + 'static,
    {
        let (writes, receiver) = channel();
        std::thread::Builder::new()
            .name("storage".to_string())
            .spawn(move || {
                if let Err(error) = run(open, new_voter, &report, &receiver) {
                    report(StorageEvent::Failed(error));
                }
            })
            .map_err(|source| Error::Thread { source })?;
        Ok(Self { writes })
    }

    /// Queues a write. After the thread has failed, writes are dropped and not reported.
    pub fn write(&self, write: Write) {
        if self.writes.send(write).is_err() {
            log::debug!("dropping a write to the data folder: the storage thread has ended");
        }
    }
}

fn run<O, F, R>(
    open: O,
    new_voter: VoterId,
    report: &R,
    receiver: &Receiver<Write>,
) -> Result<(), Error>
where
    O: FnOnce() -> Result<F, Error>,
    F: Folder,
    R: Fn(StorageEvent),
{
    let (mut journal, voter, recovered) = Journal::open(open()?, new_voter)?;
    report(StorageEvent::Opened { voter, recovered: Box::new(recovered) });
    while let Ok(first) = receiver.recv() {
        let mut group = vec![first];
        group.extend(receiver.try_iter());
        if let Some(write_number) = journal.write(&group)? {
            report(StorageEvent::Synced { write_number });
        }
    }
    Ok(())
}
