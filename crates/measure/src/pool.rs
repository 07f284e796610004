//! Thread pool that sends planned requests at their times.

use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Error;

/// Stack size of a sending thread, in bytes.
const SENDER_STACK_BYTES: usize = 256 << 10;

/// Request to send at a given time.
pub(crate) struct Job<T> {
    /// Index in the order of arrivals, from 0.
    pub(crate) index: usize,
    /// Request to send.
    pub(crate) request: T,
    /// Time at which the request is to be sent.
    pub(crate) due_at: Instant,
}

/// Function with which a thread sends each job; returns the sample of the job.
pub(crate) type Worker<T, S> = Box<dyn FnMut(Job<T>) -> S + Send>;

/// Sends all `requests` at their offsets from `started_at`, whether or not earlier ones have ended.
///
/// `worker` creates the worker of each of the `threads` threads. Returns the samples of the workers
/// in the order in which the requests ended.
pub(crate) fn send_all<T, S, W>(
    threads: usize,
    started_at: Instant,
    requests: Vec<(Duration, T)>,
    worker: W,
) -> Result<Vec<S>, Error>
where
    T: Send + 'static,
    S: Send + 'static,
    W: Fn() -> Worker<T, S>,
{
    let (jobs, queue) = channel();
    let (samples, finished) = channel();
    let queue = Arc::new(Mutex::new(queue));
    let threads = (0..threads)
        .map(|_| {
            let (queue, samples, mut worker) = (queue.clone(), samples.clone(), worker());
            spawn_sender(move || {
                while let Some(job) = next_job(&queue) {
                    if samples.send(worker(job)).is_err() {
                        return;
                    }
                }
            })
        })
        .collect::<Result<Vec<_>, _>>()?;
    drop(samples);
    for (index, (offset, request)) in requests.into_iter().enumerate() {
        let due_at = started_at + offset;
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        if jobs.send(Job { index, request, due_at }).is_err() {
            break;
        }
    }
    drop(jobs);
    let samples = finished.iter().collect();
    for thread in threads {
        let _ = thread.join();
    }
    Ok(samples)
}

/// Waits for the next job; returns `None` once all jobs are taken and no more will come.
fn next_job<T>(queue: &Mutex<Receiver<Job<T>>>) -> Option<Job<T>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}

/// Starts a sending thread.
fn spawn_sender<F>(body: F) -> Result<JoinHandle<()>, Error>
where
    F: FnOnce() + Send + 'static,
{
    std::thread::Builder::new().stack_size(SENDER_STACK_BYTES).spawn(body).map_err(Error::Thread)
}
