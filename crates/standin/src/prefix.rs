//! Prefix cache of a stand-in engine: an LRU cache of the blocks into which prompts are split.

use std::collections::VecDeque;

use upstream::cache::{Block, Change};
use xxhash_rust::xxh3::xxh3_64;

use crate::kv::Context;

/// Size of a block of a prompt, in bytes.
pub(crate) const BLOCK_BYTES: usize = 64;

/// LRU cache of block hashes, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: VecDeque<u64>,
    capacity: usize,
    changes: Vec<Change>,
}

/// Number of blocks of a prompt that were cached and that had to be computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reuse {
    pub(crate) cached_blocks: usize,
    pub(crate) computed_blocks: usize,
}

impl Cache {
    /// Creates an empty cache that holds up to `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { blocks: VecDeque::new(), capacity, changes: Vec::new() }
    }

    /// Looks up the cached prefix of `prompt` and caches all blocks of the prompt.
    pub(crate) fn use_prompt(&mut self, prompt: &str) -> Reuse {
        let hashes = block_hashes(prompt);
        let prefix_len = self.cached_prefix_len(&hashes);
        for hash in &hashes {
            self.touch(*hash);
        }
        Reuse { cached_blocks: prefix_len, computed_blocks: hashes.len() - prefix_len }
    }

    /// Returns the cached blocks at the start of `prompt`.
    pub(crate) fn export(&self, prompt: &str) -> Context {
        let mut blocks = block_hashes(prompt);
        blocks.truncate(self.cached_prefix_len(&blocks));
        Context { blocks }
    }

    /// Caches blocks that another engine computed.
    pub(crate) fn import(&mut self, context: &Context) {
        context.blocks.iter().for_each(|block| self.touch(*block));
    }

    /// Returns and clears the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of blocks before the first that is not cached.
    fn cached_prefix_len(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains(hash)).count()
    }

    /// Marks a block as most recently used; evicts the least recently used one from a full cache.
    fn touch(&mut self, hash: u64) {
        match self.blocks.iter().position(|block| *block == hash) {
            Some(index) => {
                self.blocks.remove(index);
            }
            None => self.changes.push(Change::Stored(Block(hash))),
        }
        self.blocks.push_back(hash);
        if self.blocks.len() > self.capacity
            && let Some(evicted) = self.blocks.pop_front()
        {
            self.changes.push(Change::Evicted(Block(evicted)));
        }
    }
}

/// Returns the hash of each prefix of `prompt` that ends with a complete block.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_BYTES;
    (1..=count).map(|index| xxh3_64(&bytes[..index * BLOCK_BYTES])).collect()
}
