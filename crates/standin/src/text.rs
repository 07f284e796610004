//! Generates the text of responses: all engines give the same words for the same prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "kite", "delta", "field", "salt", "route", "ridge", "plough", "shift", "dawn", "river", "crew",
    "survey", "wind", "snow", "report", "signal",
];

/// Returns the word at `index` of the response to `prompt`, with a trailing space.
pub fn word(prompt: &str, index: usize) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index as u64);
    let chosen_word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{chosen_word}{} ", (hash >> 32) % 1000)
}

/// Returns the complete response of `words` words to `prompt`.
pub fn answer(prompt: &str, words: usize) -> String {
    (0..words).map(|index| word(prompt, index)).collect()
}
