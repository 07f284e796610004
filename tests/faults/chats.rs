//! Callers that chat all the time and compare every answer.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::Caller;
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

impl Counts {
    /// The counts of all callers together.
    pub fn sum(all: Vec<Self>) -> Self {
        all.into_iter().fold(Self::default(), |sum, one| Self {
            whole: sum.whole + one.whole,
            refused: sum.refused + one.refused,
            cut: sum.cut + one.cut,
            wrong: sum.wrong + one.wrong,
        })
    }
}

/// Chats until the caller is stopped.
pub fn chat_on(caller: &Caller) -> Counts {
    let Caller { number, seed, addresses, .. } = caller;
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1000 + *number as u64);
    let mut counts = Counts::default();
    let mut turn = 0;
    while !caller.is_stopped() {
        turn += 1;
        let address = addresses[random.random_range(0..addresses.len())];
        let words = random.random_range(1..MAX_WORDS);
        let text = format!("seed {seed} caller {number} turn {turn}");
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
