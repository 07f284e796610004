//! The prefix cache of a stand-in engine: prompts cut into blocks, least recently used out first.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that make one block.
const BLOCK_BYTES: usize = 64;

/// Cached blocks, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: VecDeque<u64>,
    capacity: usize,
}

/// How much of a prompt was cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reuse {
    pub(crate) cached_blocks: usize,
    pub(crate) computed_blocks: usize,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { blocks: VecDeque::new(), capacity }
    }

    /// Uses `prompt`: counts its cached prefix and caches all its blocks.
    pub(crate) fn use_prompt(&mut self, prompt: &str) -> Reuse {
        let hashes = block_hashes(prompt);
        let cached = hashes.iter().take_while(|hash| self.blocks.contains(hash)).count();
        for hash in &hashes {
            self.touch(*hash);
        }
        Reuse { cached_blocks: cached, computed_blocks: hashes.len() - cached }
    }

    fn touch(&mut self, hash: u64) {
        if let Some(index) = self.blocks.iter().position(|block| *block == hash) {
            self.blocks.remove(index);
        }
        self.blocks.push_back(hash);
        if self.blocks.len() > self.capacity {
            self.blocks.pop_front();
        }
    }
}

/// The hash of each prefix of `prompt` that ends with a whole block.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_BYTES;
    (1..=count).map(|index| xxh3_64(&bytes[..index * BLOCK_BYTES])).collect()
}
