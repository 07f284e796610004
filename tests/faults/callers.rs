//! Callers that run until they are stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// What one caller works with.
pub struct Caller {
    pub number: usize,
    pub seed: u64,
    pub addresses: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
}

impl Caller {
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Running callers, each of which gives a `T` in the end.
pub struct Callers<T> {
    threads: Vec<JoinHandle<T>>,
}

impl<T> Callers<T>
where
    T: Send + 'static,
{
    /// Starts `count` callers that do `work`.
    pub fn start(
        addresses: &[SocketAddr],
        count: usize,
        seed: u64,
        stopped: &Arc<AtomicBool>,
        work: fn(&Caller) -> T,
    ) -> Self {
        let threads = (0..count).map(|number| {
            let (addresses, stopped) = (addresses.to_vec(), stopped.clone());
            let caller = Caller { number, seed, addresses, stopped };
            std::thread::spawn(move || work(&caller))
        });
        Self { threads: threads.collect() }
    }

    /// Waits for the callers.
    pub fn join(self) -> Vec<T> {
        self.threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    }
}
