//! Threads of concurrent callers that run until they are stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Parameters of one caller.
pub struct Caller {
    /// Index of the caller, counted from 0.
    pub index: usize,
    pub seed: u64,
    pub addresses: Vec<SocketAddr>,
    is_stopped: Arc<AtomicBool>,
}

impl Caller {
    /// Returns whether the caller must stop.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

/// Running callers, each of which returns a `T`.
pub struct Callers<T> {
    threads: Vec<JoinHandle<T>>,
}

impl<T> Callers<T>
where
    T: Send + 'static,
{
    /// Starts `count` callers that run `work`.
    pub fn start(
        addresses: &[SocketAddr],
        count: usize,
        seed: u64,
        is_stopped: &Arc<AtomicBool>,
        work: fn(&Caller) -> T,
    ) -> Self {
        let threads = (0..count).map(|index| {
            let (addresses, is_stopped) = (addresses.to_vec(), is_stopped.clone());
            let caller = Caller { index, seed, addresses, is_stopped };
            std::thread::spawn(move || work(&caller))
        });
        Self { threads: threads.collect() }
    }

    /// Waits for the callers and returns their results.
    pub fn join(self) -> Vec<T> {
        self.threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    }
}
