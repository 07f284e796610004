//! The answers of stand-in engines: the same words for the same prompt, whichever engine answers.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "kite", "delta", "field", "salt", "route", "ridge", "plough", "shift", "dawn", "river", "crew",
    "survey", "wind", "snow", "report", "signal",
];

/// The word at `index` of the answer to `prompt`, with a space behind.
pub fn word(prompt: &str, index: usize) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index as u64);
    let choice = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{choice}{} ", (hash >> 32) % 1000)
}

/// The whole answer of `words` words to `prompt`.
pub fn answer(prompt: &str, words: usize) -> String {
    (0..words).map(|index| word(prompt, index)).collect()
}
