//! Unsent output beyond what is passed to the socket at once.

use std::collections::VecDeque;

/// Size in bytes of a block. Blocks of equal size leave no holes in memory, and writing some bytes
/// of one moves only the rest of that block.
const BLOCK_BYTES: usize = 64 << 10;

/// Blocks of output that follow the output buffer of a socket. There are none while that buffer is
/// empty.
#[derive(Default)]
pub(crate) struct OutputQueue {
    blocks: VecDeque<Vec<u8>>,
}

impl OutputQueue {
    /// Returns whether no output follows the buffer of the socket.
    pub(crate) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of bytes of output.
    pub(crate) fn len(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }

    /// Returns the number of bytes of memory that the blocks take.
    pub(crate) fn capacity(&self) -> usize {
        self.blocks.iter().map(Vec::capacity).sum()
    }

    /// Returns the buffer that the next `bytes` bytes are appended to: `out`, the buffer of the
    /// socket, while they fit into it and nothing follows it, or the last block.
    pub(crate) fn next_buffer<'a>(
        &'a mut self,
        out: &'a mut Vec<u8>,
        bytes: usize,
    ) -> &'a mut Vec<u8> {
        if self.blocks.is_empty() && (out.is_empty() || out.len() + bytes <= BLOCK_BYTES) {
            return out;
        }
        let has_room =
            self.blocks.back().is_some_and(|block| block.len() + bytes <= block.capacity());
        if !has_room {
            self.blocks.push_back(Vec::with_capacity(BLOCK_BYTES.max(bytes)));
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Removes the first block.
    pub(crate) fn pop(&mut self) -> Option<Vec<u8>> {
        self.blocks.pop_front()
    }
}
