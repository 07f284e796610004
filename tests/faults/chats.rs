//! Callers that chat all the time and compare every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{chat, expected_answer, post, streamed_text};

const MAX_WORDS: usize = 40;

/// What became of the chats.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Answers that were whole and right.
    pub whole: u64,
    /// Refusals with a verdict.
    pub refused: u64,
    /// Answers cut so that the caller could tell, and broken connections.
    pub cut: u64,
    /// Answers that looked whole and were not the engine's.
    pub wrong: u64,
}

/// Running callers.
pub struct Chats {
    callers: Vec<JoinHandle<Counts>>,
}

impl Chats {
    pub fn start(
        addresses: &[SocketAddr],
        count: usize,
        seed: u64,
        stopped: &Arc<AtomicBool>,
    ) -> Self {
        let callers = (0..count)
            .map(|caller| {
                let (addresses, stopped) = (addresses.to_vec(), stopped.clone());
                std::thread::spawn(move || call(&addresses, caller, seed, &stopped))
            })
            .collect();
        Self { callers }
    }

    /// Waits for the callers; gives their counts together.
    pub fn join(self) -> Counts {
        let mut total = Counts::default();
        for caller in self.callers {
            let counts = caller.join().unwrap();
            total.whole += counts.whole;
            total.refused += counts.refused;
            total.cut += counts.cut;
            total.wrong += counts.wrong;
        }
        total
    }
}

fn call(addresses: &[SocketAddr], caller: usize, seed: u64, stopped: &AtomicBool) -> Counts {
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1000 + caller as u64);
    let mut counts = Counts::default();
    let mut turn = 0;
    while !stopped.load(Ordering::Relaxed) {
        turn += 1;
        let address = addresses[random.random_range(0..addresses.len())];
        let words = random.random_range(1..MAX_WORDS);
        let text = format!("seed {seed} caller {caller} turn {turn}");
        let answer = post(address, "/v1/chat/completions", &[], &chat(&text, words, true));
        match answer {
            Err(_) => counts.cut += 1,
            Ok(answer) if answer.status != 200 => counts.refused += 1,
            Ok(answer) => match streamed_text(&answer.body) {
                None => counts.cut += 1,
                Some(got) if got == expected_answer(&text, words) => counts.whole += 1,
                Some(got) => {
                    println!("{text}: got {got:?}");
                    counts.wrong += 1;
                }
            },
        }
    }
    counts
}
