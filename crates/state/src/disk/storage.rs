//! The thread that owns the data folder.

use std::sync::mpsc::{Receiver, Sender, channel};

use crate::{Error, Folder, Journal, Recovered, Voter, Write};

/// What the storage thread tells.
#[derive(Debug)]
pub enum Report {
    /// The folder was read.
    Opened {
        /// Its number.
        voter: Voter,
        /// What it holds.
        recovered: Box<Recovered>,
    },
    /// All writes up to this ticket are synced.
    Synced {
        /// [`Write::ticket`] of the last.
        ticket: u64,
    },
    /// The folder cannot be used; the process must stop.
    Failed(Error),
}

/// Hands writes to the storage thread, which ends with this handle.
pub struct Storage {
    writes: Sender<Write>,
}

impl Storage {
    /// Starts the thread on what `open` gives; a blank folder gets the number `new_voter`.
    ///
    /// # Errors
    ///
    /// [`Error::Thread`] when the system gives no thread.
    pub fn start<O, F, R>(open: O, new_voter: Voter, report: R) -> Result<Self, Error>
    where
        O: FnOnce() -> Result<F, Error> + Send + 'static,
        F: Folder,
        R: Fn(Report) + Send + 'static,
    {
        let (writes, receiver) = channel();
        std::thread::Builder::new()
            .name("storage".to_string())
            .spawn(move || {
                if let Err(error) = run(open, new_voter, &report, &receiver) {
                    report(Report::Failed(error));
                }
            })
            .map_err(|source| Error::Thread { source })?;
        Ok(Self { writes })
    }

    /// Queues a write. Nothing is reported for it once the thread has failed.
    pub fn write(&self, write: Write) {
        if self.writes.send(write).is_err() {
            log::debug!("a write was dropped: the storage thread has ended");
        }
    }
}

fn run<O, F, R>(
    open: O,
    new_voter: Voter,
    report: &R,
    receiver: &Receiver<Write>,
) -> Result<(), Error>
where
    O: FnOnce() -> Result<F, Error>,
    F: Folder,
    R: Fn(Report),
{
    let (mut journal, voter, recovered) = Journal::open(open()?, new_voter)?;
    report(Report::Opened { voter, recovered: Box::new(recovered) });
    while let Ok(first) = receiver.recv() {
        let mut group = vec![first];
        group.extend(receiver.try_iter());
        if let Some(ticket) = journal.write(&group)? {
            report(Report::Synced { ticket });
        }
    }
    Ok(())
}
