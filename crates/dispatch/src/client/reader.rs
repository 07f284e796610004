//! Answers, cut out of the bytes of a connection.

use crate::Field;

/// Most bytes of the head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Most headers of an answer.
const MAX_HEADERS: usize = 64;

/// Longest line that announces a chunk, and longest trailer line.
const MAX_LINE_BYTES: usize = 4096;

/// Most bytes of all trailer lines.
const MAX_TRAILER_BYTES: usize = 64 << 10;

/// Most heads before the final one; an upstream in order sends one at most.
const MAX_INTERIM_HEADS: usize = 8;

/// Most bytes of answers to other requests that are passed over: a few late copies.
const MAX_FOREIGN_BYTES: usize = 4 << 20;

/// A header that the upstream sends back, by which an answer to another request is told apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Echo {
    /// Its name, in lower case.
    pub name: String,
    /// The value that the request carried.
    pub value: String,
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Its head.
    Head {
        /// Its status.
        status: u16,
        /// Its headers, names in lower case.
        headers: Vec<Field>,
    },
    /// The next bytes of its body.
    Part(Vec<u8>),
    /// Its end.
    End,
}

/// Why an answer cannot be used any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Flaw {
    /// The bytes are no answer in HTTP.
    Malformed,
    /// The connection ended before the answer did.
    Truncated,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    Length(u64),
    ChunkLine,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads the answer to one request; answers to other requests before it are left out.
#[derive(Debug)]
pub struct Reader {
    buffer: Vec<u8>,
    state: State,
    has_no_body: bool,
    echo: Option<Echo>,
    /// Whether the answer being read belongs to another request.
    is_foreign: bool,
    /// Whether bytes came after the end of the answer.
    has_surplus: bool,
    interim_heads: usize,
    trailer_bytes: usize,
    foreign_bytes: usize,
    keeps_alive: bool,
    /// For how many seconds the upstream keeps an idle connection, if it says.
    keep_seconds: Option<u64>,
}

impl Reader {
    /// A reader of the answer to a request that carried `echo`. An answer without that header is
    /// taken to belong to the request. With `has_no_body`, no body follows the head.
    pub fn new(echo: Option<Echo>, has_no_body: bool) -> Self {
        Self {
            buffer: Vec::new(),
            state: State::Head,
            has_no_body,
            echo,
            is_foreign: false,
            has_surplus: false,
            interim_heads: 0,
            trailer_bytes: 0,
            foreign_bytes: 0,
            keeps_alive: true,
            keep_seconds: None,
        }
    }

    /// Takes the next bytes of the connection. Those after the end of the answer belong to no
    /// request and are not kept.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.state == State::Done {
            self.has_surplus |= !bytes.is_empty();
        } else {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Bytes that were taken and are not part of a piece yet.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the connection can be used for another request now that the answer has ended.
    pub fn is_reusable(&self) -> bool {
        let is_clean = self.buffer.is_empty() && !self.has_surplus;
        self.state == State::Done && self.keeps_alive && is_clean
    }

    /// For how many seconds the upstream keeps the idle connection, if it said so.
    pub fn keep_seconds(&self) -> Option<u64> {
        self.keep_seconds
    }

    /// The next piece of the answer; none until more bytes come.
    ///
    /// # Errors
    ///
    /// [`Flaw::Malformed`] when the bytes are no answer.
    pub fn next_piece(&mut self) -> Result<Option<Piece>, Flaw> {
        loop {
            let piece = match self.state {
                State::Head => self.read_head()?,
                State::Length(left) => self.read_bytes(left, State::Length),
                State::Chunk(left) => self.read_bytes(left, State::Chunk),
                State::UntilClose => self.read_all(),
                State::ChunkLine => self.read_chunk_line()?,
                State::ChunkEnd => self.read_chunk_end()?,
                State::Trailer => self.read_trailer()?,
                State::Done => return Ok(None),
            };
            match piece {
                Step::Wait => return Ok(None),
                Step::Again => {}
                Step::Give(Piece::End) if self.is_foreign => self.begin_next()?,
                Step::Give(piece) if self.is_foreign => self.pass_over(&piece)?,
                Step::Give(piece) => return Ok(Some(piece)),
            }
        }
    }

    /// Takes the end of the connection.
    ///
    /// # Errors
    ///
    /// [`Flaw::Truncated`] when the answer is not whole.
    pub fn close(&mut self) -> Result<(), Flaw> {
        let is_whole = self.state == State::UntilClose && !self.is_foreign;
        if !is_whole && self.state != State::Done {
            return Err(Flaw::Truncated);
        }
        self.state = State::Done;
        self.keeps_alive = false;
        Ok(())
    }

    fn begin_next(&mut self) -> Result<(), Flaw> {
        self.state = State::Head;
        self.is_foreign = false;
        self.count_foreign(MAX_HEAD_BYTES)
    }

    fn pass_over(&mut self, piece: &Piece) -> Result<(), Flaw> {
        match piece {
            Piece::Part(part) => self.count_foreign(part.len()),
            Piece::Head { .. } | Piece::End => Ok(()),
        }
    }

    /// Counts bytes of answers to other requests, a head as the most that it may have.
    fn count_foreign(&mut self, bytes: usize) -> Result<(), Flaw> {
        self.foreign_bytes += bytes;
        if self.foreign_bytes > MAX_FOREIGN_BYTES { Err(Flaw::Malformed) } else { Ok(()) }
    }

    fn read_head(&mut self) -> Result<Step, Flaw> {
        let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut raw);
        let length = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => {
                return Ok(Step::Wait);
            }
            Ok(httparse::Status::Partial) | Err(_) => return Err(Flaw::Malformed),
        };
        let status = response.code.ok_or(Flaw::Malformed)?;
        let is_modern = response.version == Some(1);
        let headers = fields(response.headers)?;
        self.buffer.drain(..length);
        if (100..200).contains(&status) {
            self.interim_heads += 1;
            let is_endless = self.interim_heads > MAX_INTERIM_HEADS;
            return if is_endless { Err(Flaw::Malformed) } else { Ok(Step::Again) };
        }
        self.note_connection(is_modern, &headers);
        let is_other = |echo: &Echo| {
            let found = find(&headers, &echo.name);
            found.is_some_and(|value| value != echo.value)
        };
        self.is_foreign = self.echo.as_ref().is_some_and(is_other);
        let has_no_body = matches!(status, 204 | 304) || (self.has_no_body && !self.is_foreign);
        self.state = if has_no_body { State::Length(0) } else { body_state(&headers)? };
        Ok(Step::Give(Piece::Head { status, headers }))
    }

    fn note_connection(&mut self, is_modern: bool, headers: &[Field]) {
        let has_close = find(headers, "connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        self.keeps_alive = is_modern && !has_close;
        let timeout = find(headers, "keep-alive").and_then(|value| {
            let mut parameters = value.split(',').filter_map(|one| one.trim().split_once('='));
            let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
            seconds.trim().parse().ok()
        });
        self.keep_seconds = timeout;
    }

    /// Reads up to `left` bytes of the body; `state` is the state with what is left then.
    fn read_bytes<S>(&mut self, left: u64, state: S) -> Step
    where
        S: Fn(u64) -> State,
    {
        if left == 0 {
            if matches!(self.state, State::Chunk(_)) {
                self.state = State::ChunkEnd;
                return Step::Again;
            }
            self.state = State::Done;
            return Step::Give(Piece::End);
        }
        if self.buffer.is_empty() {
            return Step::Wait;
        }
        let taken = self.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let part: Vec<u8> = self.buffer.drain(..taken).collect();
        self.state = state(left - taken as u64);
        Step::Give(Piece::Part(part))
    }

    fn read_all(&mut self) -> Step {
        match self.buffer.is_empty() {
            true => Step::Wait,
            false => Step::Give(Piece::Part(std::mem::take(&mut self.buffer))),
        }
    }

    fn read_chunk_line(&mut self) -> Result<Step, Flaw> {
        match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete((length, size))) => {
                self.buffer.drain(..length);
                self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                Ok(Step::Again)
            }
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_LINE_BYTES => Ok(Step::Wait),
            Ok(httparse::Status::Partial) | Err(_) => Err(Flaw::Malformed),
        }
    }

    fn read_chunk_end(&mut self) -> Result<Step, Flaw> {
        match self.buffer.get(..2) {
            None => Ok(Step::Wait),
            Some(b"\r\n") => {
                self.buffer.drain(..2);
                self.state = State::ChunkLine;
                Ok(Step::Again)
            }
            Some(_) => Err(Flaw::Malformed),
        }
    }

    /// Skips trailers up to the empty line behind them.
    fn read_trailer(&mut self) -> Result<Step, Flaw> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
            let is_too_long = self.buffer.len() >= MAX_LINE_BYTES;
            return if is_too_long { Err(Flaw::Malformed) } else { Ok(Step::Wait) };
        };
        self.buffer.drain(..end + 2);
        self.trailer_bytes += end + 2;
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(Flaw::Malformed);
        }
        if end > 0 {
            return Ok(Step::Again);
        }
        self.state = State::Done;
        Ok(Step::Give(Piece::End))
    }
}

enum Step {
    Wait,
    Again,
    Give(Piece),
}

fn fields(raw: &[httparse::Header<'_>]) -> Result<Vec<Field>, Flaw> {
    let convert = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| Flaw::Malformed)?;
        Ok(Field { name: header.name.to_ascii_lowercase(), value: value.to_string() })
    };
    raw.iter().map(convert).collect()
}

fn find<'a>(headers: &'a [Field], name: &str) -> Option<&'a str> {
    let field = headers.iter().find(|field| field.name == name)?;
    Some(field.value.trim())
}

fn body_state(headers: &[Field]) -> Result<State, Flaw> {
    if let Some(encoding) = find(headers, "transfer-encoding") {
        let is_chunked = encoding.eq_ignore_ascii_case("chunked");
        return if is_chunked { Ok(State::ChunkLine) } else { Err(Flaw::Malformed) };
    }
    let mut lengths = headers.iter().filter(|field| field.name == "content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(State::UntilClose),
        (Some(length), None) => {
            length.value.trim().parse().map(State::Length).map_err(|_| Flaw::Malformed)
        }
        (Some(_), Some(_)) => Err(Flaw::Malformed),
    }
}
