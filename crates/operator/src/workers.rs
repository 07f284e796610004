//! Threads that handle the requests of the operators' port.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use crate::{Handler, Request, Response};

/// Number of threads, and so of requests that are handled concurrently.
const THREADS: usize = 8;

/// Maximum number of requests that wait for a thread.
const MAX_WAITING: usize = 1024;

/// A request and what to do with its response.
struct Job {
    request: Request,
    respond: Box<dyn FnOnce(Response) + Send>,
}

/// Threads that handle requests, which may block, until this value is dropped.
pub struct Workers {
    jobs: SyncSender<Job>,
}

impl Workers {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(handler: &Arc<dyn Handler>) -> std::io::Result<Self> {
        let (jobs, receiver) = sync_channel(MAX_WAITING);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..THREADS {
            let (handler, receiver) = (handler.clone(), receiver.clone());
            std::thread::Builder::new()
                .name("operators".to_string())
                .spawn(move || handle_requests(&receiver, handler.as_ref()))?;
        }
        Ok(Self { jobs })
    }

    /// Passes a request to a thread, which calls `respond` with the response. Returns false if too
    /// many requests wait for a thread.
    pub fn handle<F>(&self, request: Request, respond: F) -> bool
    where
        F: FnOnce(Response) + Send + 'static,
    {
        let job = Job { request, respond: Box::new(respond) };
        !matches!(
            self.jobs.try_send(job),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
        )
    }
}

/// Handles requests on the current thread until the workers are dropped.
fn handle_requests(receiver: &Mutex<Receiver<Job>>, handler: &dyn Handler) {
    loop {
        let job = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(Job { request, respond }) = job else {
            return;
        };
        respond(handler.handle(request));
    }
}
