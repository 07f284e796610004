//! Callers that send chats without a pause and check every answer.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::Caller;
use crate::support::{chat, expected_answer, post, streamed_text};

/// Upper bound, exclusive, on the number of words of an answer.
const MAX_WORDS: usize = 40;

/// Number of chats by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Complete and correct answers.
    pub whole: u64,
    /// Refused chats, which have a status other than 200.
    pub refused: u64,
    /// Answers that the caller could recognise as incomplete, and broken connections.
    pub cut: u64,
    /// Answers that appeared complete but differ from the engine's answer.
    pub wrong: u64,
}

impl Counts {
    /// Adds up the counts of all callers.
    pub fn sum(all: Vec<Self>) -> Self {
        all.into_iter().fold(Self::default(), |sum, counts| Self {
            whole: sum.whole + counts.whole,
            refused: sum.refused + counts.refused,
            cut: sum.cut + counts.cut,
            wrong: sum.wrong + counts.wrong,
        })
    }
}

/// Sends chats until the caller is stopped.
pub fn run_chats(caller: &Caller) -> Counts {
    let Caller { index, seed, addresses, .. } = caller;
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1000 + *index as u64);
    let mut counts = Counts::default();
    let mut turn = 0;
    while !caller.is_stopped() {
        turn += 1;
        let address = addresses[random.random_range(0..addresses.len())];
        let words = random.random_range(1..MAX_WORDS);
        let text = format!("seed {seed} caller {index} turn {turn}");
        let answer = post(address, "/v1/chat/completions", &[], &chat(&text, words, true));
        match answer {
            Err(_) => counts.cut += 1,
            Ok(answer) if answer.status != 200 => counts.refused += 1,
            Ok(answer) => match streamed_text(&answer.body) {
                None => counts.cut += 1,
                Some(received) if received == expected_answer(&text, words) => counts.whole += 1,
                Some(received) => {
                    println!("{text}: received {received:?}");
                    counts.wrong += 1;
                }
            },
        }
    }
    counts
}
