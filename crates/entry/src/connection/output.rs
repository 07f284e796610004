//! Unsent output of a connection.

use stakker::CX;

use super::{Connection, KEPT_BUFFER_BYTES, LINGER_TIME, Phase};

impl Connection {
    /// Returns the number of bytes of output that are not passed to the operating system.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.stream.out.len() + self.queue.len()
    }

    /// Returns the number of bytes of memory that the unsent output takes.
    pub(super) fn output_memory(&self) -> usize {
        match self.stream.out.is_empty() {
            true => 0,
            false => self.stream.out.capacity() + self.queue.capacity(),
        }
    }

    /// Passes output to the operating system until that takes no more.
    fn write_output(&mut self) -> std::io::Result<()> {
        loop {
            self.stream.out_eof = self.ends_output && self.queue.is_empty();
            self.stream.flush()?;
            if !self.stream.out.is_empty() {
                return Ok(());
            }
            match self.queue.pop() {
                Some(block) => self.stream.out = block,
                None => return Ok(()),
            }
        }
    }

    /// Sends the buffered output. Returns false if the connection has failed.
    pub(super) fn flush(&mut self, cx: CX![]) -> bool {
        let length_before = self.unsent_bytes();
        if self.write_output().is_err() {
            self.disconnect(cx);
            return false;
        }
        let length_after = self.unsent_bytes();
        if length_after < length_before {
            self.linger_until = cx.now() + LINGER_TIME;
            self.output.shrink(self.output_memory());
        }
        if length_after == 0 && self.stream.out.capacity() > KEPT_BUFFER_BYTES {
            self.stream.out = Vec::new();
        }
        if length_after > 0 && length_after < length_before {
            let deadline = cx.now() + self.bounds.get().unread;
            self.set_deadline(cx, deadline);
        }
        if length_after == 0 && matches!(self.phase, Phase::Closing) {
            self.linger(cx);
        }
        if length_before > 0
            && length_after == 0
            && matches!(self.phase, Phase::Receiving { body: None })
        {
            self.read_next(cx);
        }
        true
    }
}
