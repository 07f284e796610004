//! The prefix cache of a stand-in engine: prompts cut into blocks, least recently used out first.

use std::collections::VecDeque;

use upstream::cache::{Block, Change};
use xxhash_rust::xxh3::xxh3_64;

use crate::kv::Context;

/// Bytes of a prompt that make one block.
pub(crate) const BLOCK_BYTES: usize = 64;

/// Cached blocks, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    blocks: VecDeque<u64>,
    capacity: usize,
    changes: Vec<Change>,
}

/// How much of a prompt was cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reuse {
    pub(crate) cached_blocks: usize,
    pub(crate) computed_blocks: usize,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { blocks: VecDeque::new(), capacity, changes: Vec::new() }
    }

    /// Uses `prompt`: counts its cached prefix and caches all its blocks.
    pub(crate) fn use_prompt(&mut self, prompt: &str) -> Reuse {
        let hashes = block_hashes(prompt);
        let cached = self.leading(&hashes);
        for hash in &hashes {
            self.touch(*hash);
        }
        Reuse { cached_blocks: cached, computed_blocks: hashes.len() - cached }
    }

    /// The cached blocks at the start of `prompt`.
    pub(crate) fn export(&self, prompt: &str) -> Context {
        let mut blocks = block_hashes(prompt);
        blocks.truncate(self.leading(&blocks));
        Context { blocks }
    }

    /// Caches blocks that another engine computed.
    pub(crate) fn import(&mut self, context: &Context) {
        context.blocks.iter().for_each(|block| self.touch(*block));
    }

    /// What changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn leading(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains(hash)).count()
    }

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

/// The hash of each prefix of `prompt` that ends with a whole block.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let count = bytes.len() / BLOCK_BYTES;
    (1..=count).map(|index| xxh3_64(&bytes[..index * BLOCK_BYTES])).collect()
}
