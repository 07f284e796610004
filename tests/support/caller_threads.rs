//! Threads of callers with seeded random numbers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Threads of the running callers.
pub struct CallerThreads {
    threads: Vec<JoinHandle<()>>,
}

impl CallerThreads {
    /// Starts `count` callers. Each runs `run` with its number and its random numbers until
    /// `is_stopped` is set.
    pub fn start<R>(count: u64, seed: u64, is_stopped: &Arc<AtomicBool>, run: R) -> Self
    where
        R: Fn(u64, Pcg64Mcg, &AtomicBool) + Send + Sync + 'static,
    {
        let run = Arc::new(run);
        let start_caller = |number: u64| {
            let (run, is_stopped) = (run.clone(), is_stopped.clone());
            let random = Pcg64Mcg::seed_from_u64(seed * 1000 + number);
            std::thread::spawn(move || run(number, random, &is_stopped))
        };
        Self { threads: (0..count).map(start_caller).collect() }
    }

    /// Waits until all callers have ended.
    pub fn join(self) {
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}
