//! Incremental parser for HTTP/1 responses.

use http1::{Bounds, Chunks, Declaration, Framing, Rule, Step as ChunkStep, Version};

use crate::Field;

/// Largest size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Limits on the lines between the chunks of a response and behind them.
const CHUNK_BOUNDS: Bounds = Bounds { line_bytes: 4096, trailer_bytes: 64 << 10 };

/// Largest size in bytes of the rest of a chunk that is held back until its end has arrived. It fits
/// into the buffers that a call reserves.
const MAX_HELD_BYTES: usize = 4 << 10;

/// Largest number of interim (1xx) responses before the final response. A correct upstream sends at
/// most one.
const MAX_INTERIM_HEADS: usize = 8;

/// Largest total size in bytes of skipped responses to other requests, which leaves room for a few
/// late duplicates.
const MAX_UNMATCHED_BYTES: usize = 4 << 20;

/// Header that the upstream returns unchanged and that matches a response to its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorrelationHeader {
    /// Header name in lower case.
    pub name: String,
    /// Header value of the request.
    pub value: String,
}

impl CorrelationHeader {
    /// Returns whether `headers` name the request that this header belongs to.
    pub fn is_in(&self, headers: &[Field]) -> bool {
        find_headers(headers, &self.name).next() == Some(&self.value)
    }
}

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
    UntilClose,
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
    /// Whether the current response belongs to another request.
    is_unmatched: bool,
    /// Whether bytes arrived after the end of the response.
    has_excess_bytes: bool,
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
            is_unmatched: false,
            has_excess_bytes: false,
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

    /// Returns whether the beginning of a chunk has arrived that is held back.
    pub fn holds_bytes(&self) -> bool {
        let is_within_chunk =
            matches!(self.state, State::Chunks(chunks) if chunks.missing_bytes() > 0);
        is_within_chunk && !self.buffer.is_empty()
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
                State::FixedLength(remaining) => self.read_bytes(remaining),
                State::Chunks(chunks) => self.read_chunks(chunks)?,
                State::UntilClose => self.read_until_close(),
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

    /// Handles the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseError::Truncated`] if the response is incomplete.
    pub fn close(&mut self) -> Result<(), ResponseError> {
        let is_complete = self.state == State::UntilClose && !self.is_unmatched;
        if !is_complete && self.state != State::Done {
            return Err(ResponseError::Truncated);
        }
        self.state = State::Done;
        self.is_keep_alive = false;
        Ok(())
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
        let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut raw);
        let length = match response.parse(&self.buffer) {
            // The parser skips empty lines, which may come before a request only.
            _ if matches!(self.buffer.first(), Some(b'\r' | b'\n')) => {
                return Err(Rule::StartLine.into());
            }
            Ok(httparse::Status::Complete(length)) => {
                http1::check_line_ends(&self.buffer[..length])?;
                length
            }
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => {
                http1::check_line_ends(&self.buffer)?;
                return Ok(Step::NeedMoreBytes);
            }
            Ok(httparse::Status::Partial) => return Err(Rule::HeadSize.into()),
            Err(error) => return Err(broken_rule(error).into()),
        };
        let status = response.code.ok_or(Rule::Status)?;
        let version = if response.version == Some(1) { Version::Http11 } else { Version::Http10 };
        let headers = convert_headers(response.headers)?;
        self.buffer.drain(..length);
        // Checked for every head, since damage to a status may hide the body that follows.
        let fields = headers.iter().map(|field| (field.name.as_str(), field.value.as_str()));
        let framing = Framing::try_from(Declaration::new(version, fields))?;
        match status {
            // No request asks to switch protocols.
            101 => return Err(Rule::Status.into()),
            100..=199 if self.interim_heads >= MAX_INTERIM_HEADS => {
                return Err(Rule::OtherResponses.into());
            }
            100..=199 => {
                self.interim_heads += 1;
                return Ok(Step::Continue);
            }
            200..=599 => {}
            _ => return Err(Rule::Status.into()),
        }
        self.read_connection_headers(version, &headers);
        self.is_unmatched = match &self.echo {
            Some(echo) => names_another_request(&headers, echo)?,
            None => false,
        };
        let has_no_body = matches!(status, 204 | 304) || (self.has_no_body && !self.is_unmatched);
        // Such an answer would end with its connection, which its upstream says that it keeps open. A
        // field that told of the length has probably lost its name.
        if !has_no_body && !framing.is_delimited() && stays_open(&headers) {
            return Err(Rule::NoLength.into());
        }
        self.state = match framing {
            _ if has_no_body => State::FixedLength(0),
            Framing::Length(length) => State::FixedLength(length.0),
            Framing::Chunks => State::Chunks(Chunks::new(CHUNK_BOUNDS)),
            Framing::UntilClose => State::UntilClose,
        };
        Ok(Step::Emit(ResponsePart::Head { status, headers, framing }))
    }

    fn read_connection_headers(&mut self, version: Version, headers: &[Field]) {
        self.is_keep_alive = version == Version::Http11 && !has_option(headers, "close");
        let timeout = find_headers(headers, "keep-alive").next().and_then(|value| {
            let mut parameters =
                value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
            let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
            seconds.trim().parse().ok()
        });
        self.keep_alive_seconds = timeout;
    }

    /// Reads up to `remaining` bytes of the body.
    fn read_bytes(&mut self, remaining: u64) -> Step {
        if remaining == 0 {
            self.state = State::Done;
            return Step::Emit(ResponsePart::End);
        }
        if self.buffer.is_empty() {
            return Step::NeedMoreBytes;
        }
        let length = self.buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let part: Vec<u8> = self.buffer.drain(..length).collect();
        self.state = State::FixedLength(remaining - length as u64);
        Step::Emit(ResponsePart::Body(part))
    }

    fn read_until_close(&mut self) -> Step {
        match self.buffer.is_empty() {
            true => Step::NeedMoreBytes,
            false => Step::Emit(ResponsePart::Body(std::mem::take(&mut self.buffer))),
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
            ChunkStep::End(bytes) => {
                self.buffer.drain(..bytes);
                self.state = State::Done;
                Ok(Step::Emit(ResponsePart::End))
            }
        }
    }
}

enum Step {
    NeedMoreBytes,
    Continue,
    Emit(ResponsePart),
}

fn broken_rule(error: httparse::Error) -> Rule {
    match error {
        httparse::Error::HeaderName => Rule::FieldLine,
        httparse::Error::HeaderValue => Rule::FieldValue,
        httparse::Error::NewLine => Rule::LineEnd,
        httparse::Error::TooManyHeaders => Rule::HeadSize,
        httparse::Error::Status | httparse::Error::Token | httparse::Error::Version => {
            Rule::StartLine
        }
    }
}

fn convert_headers(raw: &[httparse::Header<'_>]) -> Result<Vec<Field>, ResponseError> {
    let convert = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| Rule::FieldValue)?;
        Ok(Field { name: header.name.to_ascii_lowercase(), value: value.to_string() })
    };
    raw.iter().map(convert).collect()
}

fn find_headers<'a>(headers: &'a [Field], name: &str) -> impl Iterator<Item = &'a str> {
    let fields = headers.iter().filter(move |field| field.name == name);
    fields.map(|field| field.value.trim_matches([' ', '\t']))
}

/// Returns whether the upstream names the connection option `option`.
fn has_option(headers: &[Field], option: &str) -> bool {
    find_headers(headers, "connection").any(|value| value.to_ascii_lowercase().contains(option))
}

/// Returns whether the upstream says that it keeps the connection open for further requests.
fn stays_open(headers: &[Field]) -> bool {
    let is_kept = find_headers(headers, "keep-alive").next().is_some();
    (is_kept || has_option(headers, "keep-alive")) && !has_option(headers, "close")
}

/// Returns whether the response with `headers` belongs to another request than `echo`.
fn names_another_request(headers: &[Field], echo: &CorrelationHeader) -> Result<bool, Rule> {
    let mut values = find_headers(headers, &echo.name);
    let Some(first) = values.next() else {
        return Ok(false);
    };
    if values.any(|value| value != first) {
        Err(Rule::Correlation)
    } else {
        Ok(first != echo.value)
    }
}
