//! Incremental parser for HTTP/1 responses.

use http1::{Bounds, Chunks, Finding, Framing, Opening, Rule, Step as ChunkStep};

use super::head::{self, CorrelationHeader, MAX_HEAD_BYTES, Parsed, ResponseHead};
use crate::Field;

/// Limits on the lines between the chunks of a response and behind them.
const CHUNK_BOUNDS: Bounds = Bounds { line_bytes: 4096, trailer_bytes: 64 << 10 };

/// Largest size in bytes of the rest of a chunk that is held back until its end has arrived. It fits
/// into the buffers that a call reserves.
const MAX_HELD_BYTES: usize = 4 << 10;

/// Largest size in bytes of the beginning of a body without framing that is held back until it is known
/// whether it is a chunk or the rest of a head. It fits into the buffers that a call reserves.
const MAX_OPENING_BYTES: usize = 16 << 10;

/// Largest number of interim (1xx) responses before the final response. A correct upstream sends at
/// most one.
const MAX_INTERIM_HEADS: usize = 8;

/// Largest total size in bytes of skipped responses to other requests, which leaves room for a few
/// late duplicates.
const MAX_UNMATCHED_BYTES: usize = 4 << 20;

/// Beginning of every response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Part of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    /// The head.
    Head {
        /// HTTP status code.
        status: u16,
        /// Headers with names in lower case.
        headers: Vec<Field>,
        /// Where the body ends.
        framing: Framing,
    },
    /// The next bytes of the body.
    Body(Vec<u8>),
    /// The end of the response.
    End,
}

/// Error in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The bytes are not a valid HTTP response, or the response exceeds a size limit.
    #[error("malformed: {0}")]
    Malformed(#[from] Rule),
    /// The connection was closed before the response was complete.
    #[error("truncated")]
    Truncated,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    FixedLength(u64),
    Chunks(Chunks),
    UntilClose(Opening),
    Done,
}

/// Parser for the response to one request. Responses to other requests that precede it are skipped.
#[derive(Debug)]
pub struct ResponseReader {
    buffer: Vec<u8>,
    state: State,
    has_no_body: bool,
    /// Whether chunks are held back until their ends have arrived.
    holds_chunks: bool,
    echo: Option<CorrelationHeader>,
    /// Names of fields that only heads have, beside those of HTTP/1.1, in lower case.
    head_fields: &'static [&'static str],
    /// Whether the current response belongs to another request.
    is_unmatched: bool,
    /// Whether bytes arrived after the end of the response.
    has_excess_bytes: bool,
    /// Whether the connection may already hold more bytes than those that were pushed.
    expects_more: bool,
    interim_heads: usize,
    unmatched_bytes: usize,
    is_keep_alive: bool,
    /// Idle timeout in seconds that the upstream announced in the `keep-alive` header.
    keep_alive_seconds: Option<u64>,
}

impl ResponseReader {
    /// Creates a parser for the response to a request with the header `echo`. A response without
    /// this header counts as the response to the request. With `has_no_body`, no body follows the
    /// head.
    pub fn new(echo: Option<CorrelationHeader>, has_no_body: bool) -> Self {
        Self {
            buffer: Vec::new(),
            state: State::Head,
            has_no_body,
            holds_chunks: false,
            echo,
            head_fields: &[],
            is_unmatched: false,
            has_excess_bytes: false,
            expects_more: false,
            interim_heads: 0,
            unmatched_bytes: 0,
            is_keep_alive: true,
            keep_alive_seconds: None,
        }
    }

    /// Returns the data of a chunk of up to 4 KiB only once its end has arrived. Data of a chunk whose
    /// size is damaged would hold lines between chunks, and a stream that is resumed would go on behind
    /// them.
    pub fn hold_chunks(&mut self) {
        self.holds_chunks = true;
    }

    /// Takes a body without framing that begins with one of the fields `names`, in lower case, for the rest
    /// of a damaged head.
    pub fn set_head_fields(&mut self, names: &'static [&'static str]) {
        self.head_fields = names;
    }

    /// Returns whether the beginning of a chunk, or of a body without framing, has arrived that is held
    /// back.
    pub fn holds_bytes(&self) -> bool {
        let may_hold = match self.state {
            State::Chunks(chunks) => chunks.missing_bytes() > 0,
            State::UntilClose(_) => true,
            State::Head | State::FixedLength(_) | State::Done => false,
        };
        may_hold && !self.buffer.is_empty()
    }

    /// Appends the next bytes of the connection. Bytes after the end of the response belong to no
    /// request and are dropped.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.state == State::Done {
            self.has_excess_bytes |= !bytes.is_empty();
        } else {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Tells whether the connection may already hold more bytes. While it may, the end of the response is
    /// held back, with the last part of a body with a length and with the head of a response without a
    /// body: bytes behind the end may show that the length is damaged, and a caller that has received the
    /// declared number of bytes takes the response for complete.
    pub fn expect_more(&mut self, expects_more: bool) {
        self.expects_more = expects_more;
    }

    /// Returns the number of buffered bytes that have not been returned as a part yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the response is complete and the connection can serve another request.
    pub fn is_reusable(&self) -> bool {
        let has_no_excess = self.buffer.is_empty() && !self.has_excess_bytes;
        self.state == State::Done && self.is_keep_alive && has_no_excess
    }

    /// Returns the idle timeout in seconds that the upstream announced, if any.
    pub fn keep_alive_seconds(&self) -> Option<u64> {
        self.keep_alive_seconds
    }

    /// Returns the next part of the response, or none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseError::Malformed`] if the bytes are not a valid response or exceed a
    /// limit.
    pub fn next_part(&mut self) -> Result<Option<ResponsePart>, ResponseError> {
        loop {
            let step = match self.state {
                State::Head => self.read_head()?,
                State::FixedLength(remaining) => self.read_bytes(remaining)?,
                State::Chunks(chunks) => self.read_chunks(chunks)?,
                State::UntilClose(opening) => self.read_until_close(opening)?,
                State::Done => return Ok(None),
            };
            match step {
                Step::NeedMoreBytes => return Ok(None),
                Step::Continue => {}
                Step::Emit(ResponsePart::End) if self.is_unmatched => self.start_next_response()?,
                Step::Emit(part) if self.is_unmatched => self.skip_part(&part)?,
                Step::Emit(part) => return Ok(Some(part)),
            }
        }
    }

    /// Handles the end of the connection, and returns the rest of the body that was held back.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseError::Truncated`] if the response is incomplete.
    pub fn close(&mut self) -> Result<Vec<u8>, ResponseError> {
        let rest = match self.state {
            State::UntilClose(_) if !self.is_unmatched => std::mem::take(&mut self.buffer),
            State::Done => Vec::new(),
            _ => return Err(ResponseError::Truncated),
        };
        self.state = State::Done;
        self.is_keep_alive = false;
        Ok(rest)
    }

    fn start_next_response(&mut self) -> Result<(), ResponseError> {
        self.state = State::Head;
        self.is_unmatched = false;
        self.count_unmatched(MAX_HEAD_BYTES)
    }

    fn skip_part(&mut self, part: &ResponsePart) -> Result<(), ResponseError> {
        match part {
            ResponsePart::Body(part) => self.count_unmatched(part.len()),
            ResponsePart::Head { .. } | ResponsePart::End => Ok(()),
        }
    }

    /// Counts bytes of responses to other requests. A head counts with the largest size of a head.
    fn count_unmatched(&mut self, bytes: usize) -> Result<(), ResponseError> {
        self.unmatched_bytes += bytes;
        if self.unmatched_bytes > MAX_UNMATCHED_BYTES {
            Err(Rule::OtherResponses.into())
        } else {
            Ok(())
        }
    }

    fn read_head(&mut self) -> Result<Step, ResponseError> {
        let (length, head) = match head::parse(&self.buffer)? {
            Parsed::Partial => return Ok(Step::NeedMoreBytes),
            Parsed::Complete { length, head } => (length, head),
        };
        match head.status {
            // No request asks to switch protocols.
            101 => return Err(Rule::Status.into()),
            100..=199 if self.interim_heads >= MAX_INTERIM_HEADS => {
                return Err(Rule::OtherResponses.into());
            }
            100..=199 => {
                head.check_content()?;
                self.interim_heads += 1;
                self.buffer.drain(..length);
                return Ok(Step::Continue);
            }
            200..=599 => {}
            _ => return Err(Rule::Status.into()),
        }
        self.is_keep_alive = head.keeps_connection();
        self.keep_alive_seconds = head.keep_alive_seconds();
        self.is_unmatched = match &self.echo {
            Some(echo) => echo.is_of_another(&head.headers)?,
            None => false,
        };
        let state = self.body_state(&head)?;
        if let State::FixedLength(body_bytes) = state {
            let end = self.check_end(length, body_bytes)?;
            if end == End::Unproven && body_bytes == 0 {
                return Ok(Step::NeedMoreBytes);
            }
        }
        self.buffer.drain(..length);
        self.state = state;
        let ResponseHead { status, headers, framing, .. } = head;
        Ok(Step::Emit(ResponsePart::Head { status, headers, framing }))
    }

    /// Returns the state behind `head`.
    fn body_state(&self, head: &ResponseHead) -> Result<State, Rule> {
        head.check_content()?;
        let is_empty =
            !http1::allows_content(head.status) || (self.has_no_body && !self.is_unmatched);
        if !is_empty {
            head.check_close()?;
        }
        Ok(match head.framing {
            _ if is_empty => State::FixedLength(0),
            Framing::Length(length) => State::FixedLength(length.0),
            Framing::Chunks => State::Chunks(Chunks::new(CHUNK_BOUNDS)),
            Framing::UntilClose => State::UntilClose(Opening::new(CHUNK_BOUNDS, self.head_fields)),
        })
    }

    /// Checks the end of the response, of which `missing` bytes are to come behind the first `position`
    /// bytes of the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::ExcessBytes`] if other bytes than another response follow the end.
    fn check_end(&self, position: usize, missing: u64) -> Result<End, Rule> {
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let behind = self.buffer.get(position.saturating_add(missing)..);
        match behind {
            None => Ok(End::NotReached),
            // The bytes behind a response to another request have to be a response. Those behind a
            // response to a `HEAD` request may be a body, which is no part of it.
            Some(_) if self.is_unmatched || self.has_no_body => Ok(End::Proven),
            Some([]) if self.expects_more => Ok(End::Unproven),
            Some(behind) => {
                let compared = behind.len().min(RESPONSE_START.len());
                match behind[..compared] == RESPONSE_START[..compared] {
                    true => Ok(End::Proven),
                    false => Err(Rule::ExcessBytes),
                }
            }
        }
    }

    /// Reads up to `remaining` bytes of the body.
    fn read_bytes(&mut self, remaining: u64) -> Result<Step, Rule> {
        if self.check_end(0, remaining)? == End::Unproven {
            return Ok(Step::NeedMoreBytes);
        }
        if remaining == 0 {
            self.state = State::Done;
            return Ok(Step::Emit(ResponsePart::End));
        }
        if self.buffer.is_empty() {
            return Ok(Step::NeedMoreBytes);
        }
        let length = self.buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let part: Vec<u8> = self.buffer.drain(..length).collect();
        self.state = State::FixedLength(remaining - length as u64);
        Ok(Step::Emit(ResponsePart::Body(part)))
    }

    /// Reads a body without framing. Its beginning is held back while it may be a chunk or the rest of a
    /// head: the caller gets none of it if it is, and no other call resumes the response behind it.
    fn read_until_close(&mut self, mut opening: Opening) -> Result<Step, Rule> {
        if self.buffer.is_empty() {
            return Ok(Step::NeedMoreBytes);
        }
        let finding = opening.check(&self.buffer)?;
        if finding == Finding::NeedMoreBytes && self.buffer.len() <= MAX_OPENING_BYTES {
            self.state = State::UntilClose(opening);
            return Ok(Step::NeedMoreBytes);
        }
        if self.holds_chunks && opening.is_within_chunk() {
            return Err(Rule::ChunksInBody);
        }
        let passed = opening.pass(&self.buffer);
        self.state = State::UntilClose(opening);
        match passed {
            0 => Ok(Step::NeedMoreBytes),
            _ => Ok(Step::Emit(ResponsePart::Body(self.buffer.drain(..passed).collect()))),
        }
    }

    /// Returns whether the end of the current chunk, unless it is a large one, is still to come.
    fn is_chunk_incomplete(&self, chunks: &Chunks) -> Result<bool, Rule> {
        let missing = usize::try_from(chunks.missing_bytes()).unwrap_or(usize::MAX);
        if missing == 0 || missing > MAX_HELD_BYTES {
            return Ok(false);
        }
        match self.buffer.get(missing..).unwrap_or_default() {
            [] | [b'\r'] => Ok(true),
            [b'\r', b'\n', ..] => Ok(false),
            _ => Err(Rule::ChunkEnd),
        }
    }

    fn read_chunks(&mut self, mut chunks: Chunks) -> Result<Step, ResponseError> {
        if self.holds_chunks && self.is_chunk_incomplete(&chunks)? {
            return Ok(Step::NeedMoreBytes);
        }
        let step = chunks.next(&self.buffer)?;
        self.state = State::Chunks(chunks);
        match step {
            ChunkStep::NeedMoreBytes => Ok(Step::NeedMoreBytes),
            ChunkStep::Framing(bytes) => {
                self.buffer.drain(..bytes);
                Ok(Step::Continue)
            }
            ChunkStep::Data(bytes) => {
                Ok(Step::Emit(ResponsePart::Body(self.buffer.drain(..bytes).collect())))
            }
            ChunkStep::End(bytes) if self.check_end(bytes, 0)? == End::Unproven => {
                Ok(Step::NeedMoreBytes)
            }
            ChunkStep::End(bytes) => {
                self.buffer.drain(..bytes);
                self.state = State::Done;
                Ok(Step::Emit(ResponsePart::End))
            }
        }
    }
}

/// End of the response in the buffered bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It has not arrived.
    NotReached,
    /// Bytes behind it may have arrived that were not read yet.
    Unproven,
    /// Nothing follows it, or another response.
    Proven,
}

enum Step {
    NeedMoreBytes,
    Continue,
    Emit(ResponsePart),
}
