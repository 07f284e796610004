//! Sends planned requests at their times on a fixed number of threads.

use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Error;

/// Stack of a sending thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Something to send.
pub(crate) struct Job<T> {
    /// Its number in the order of arrivals, from 0.
    pub(crate) number: usize,
    /// What to send.
    pub(crate) request: T,
    /// When it is to be sent.
    pub(crate) due: Instant,
}

/// What a thread does with each job.
pub(crate) type Worker<T, S> = Box<dyn FnMut(Job<T>) -> S + Send>;

/// Sends all `requests` at their times from `started`, whatever becomes of earlier ones; gives what
/// the workers, one for each of `threads`, saw, in the order of the ends.
pub(crate) fn send_all<T, S, W>(
    threads: usize,
    started: Instant,
    requests: Vec<(Duration, T)>,
    worker: W,
) -> Result<Vec<S>, Error>
where
    T: Send + 'static,
    S: Send + 'static,
    W: Fn() -> Worker<T, S>,
{
    let (jobs, waiting) = channel();
    let (samples, ended) = channel();
    let waiting = Arc::new(Mutex::new(waiting));
    let threads = (0..threads)
        .map(|_| {
            let (waiting, samples, mut worker) = (waiting.clone(), samples.clone(), worker());
            start(move || {
                while let Some(job) = next(&waiting) {
                    if samples.send(worker(job)).is_err() {
                        return;
                    }
                }
            })
        })
        .collect::<Result<Vec<_>, _>>()?;
    drop(samples);
    for (number, (at, request)) in requests.into_iter().enumerate() {
        let due = started + at;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if jobs.send(Job { number, request, due }).is_err() {
            break;
        }
    }
    drop(jobs);
    let samples = ended.iter().collect();
    for thread in threads {
        let _ = thread.join();
    }
    Ok(samples)
}

fn next<T>(waiting: &Mutex<Receiver<Job<T>>>) -> Option<Job<T>> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}

fn start<F>(work: F) -> Result<JoinHandle<()>, Error>
where
    F: FnOnce() + Send + 'static,
{
    std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work).map_err(Error::Thread)
}
