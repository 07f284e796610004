//! Heads of HTTP/1 responses.

use http1::{Declaration, Framing, Rule, Version};

use crate::Field;

/// Largest size of a response head in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest number of headers in a response.
const MAX_HEADERS: usize = 64;

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

    /// Returns whether `headers` name another request.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::Correlation`] if they name more than one request.
    pub(super) fn is_of_another(&self, headers: &[Field]) -> Result<bool, Rule> {
        let mut values = find_headers(headers, &self.name);
        let Some(first) = values.next() else {
            return Ok(false);
        };
        match values.any(|value| value != first) {
            true => Err(Rule::Correlation),
            false => Ok(first != self.value),
        }
    }
}

/// Head of a response, final or interim.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    version: Version,
    /// Headers with names in lower case.
    pub(super) headers: Vec<Field>,
    /// Where the body ends, unless the response has none.
    pub(super) framing: Framing,
}

impl ResponseHead {
    /// Returns whether the connection can serve another request behind the response.
    pub(super) fn keeps_connection(&self) -> bool {
        self.version == Version::Http11 && !self.has_connection_option("close")
    }

    /// Returns whether the upstream says that it keeps the connection open for further requests.
    fn says_that_connection_stays(&self) -> bool {
        let has_timeout = find_headers(&self.headers, "keep-alive").next().is_some();
        (has_timeout || self.has_connection_option("keep-alive"))
            && !self.has_connection_option("close")
    }

    /// Checks that nothing in the head contradicts a body that ends with its connection, if it has one.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::NoLength`] if the upstream says that the connection stays open, and
    /// [`Rule::FramingField`] if a field that told of the length has probably lost its name.
    pub(super) fn check_close(&self) -> Result<(), Rule> {
        let resembles_framing = |field: &Field| {
            let value = field.value.trim_matches([' ', '\t']);
            http1::resembles_framing(&field.name, value)
        };
        if self.framing.is_delimited() {
            Ok(())
        } else if self.says_that_connection_stays() {
            Err(Rule::NoLength)
        } else if self.headers.iter().any(resembles_framing) {
            Err(Rule::FramingField)
        } else {
            Ok(())
        }
    }

    /// Checks that the head tells of no content if its status allows none (RFC 9110, sections 8.6 and
    /// 15.3.6). The status is probably damaged otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`Rule::Content`] if it does.
    pub(super) fn check_content(&self) -> Result<(), Rule> {
        let has_content = match self.framing {
            Framing::Length(length) => length.0 > 0,
            Framing::Chunks => true,
            Framing::UntilClose => false,
        };
        // A 304 tells of the content that a 200 would have.
        let may_tell = http1::allows_content(self.status) || self.status == 304;
        if has_content && !may_tell { Err(Rule::Content) } else { Ok(()) }
    }

    /// Returns the idle timeout in seconds that the upstream announced, if any.
    pub(super) fn keep_alive_seconds(&self) -> Option<u64> {
        let value = find_headers(&self.headers, "keep-alive").next()?;
        let mut parameters =
            value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
        let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse().ok()
    }

    fn has_connection_option(&self, option: &str) -> bool {
        find_headers(&self.headers, "connection")
            .any(|value| value.to_ascii_lowercase().contains(option))
    }
}

/// Outcome of parsing the received bytes.
pub(super) enum Parsed {
    /// More bytes are needed.
    Partial,
    /// The head, and its length in bytes.
    Complete { length: usize, head: ResponseHead },
}

/// Parses the head at the start of `received`. The fields that tell where the body ends are checked in
/// every head, since damage to a status may hide the body that follows.
///
/// # Errors
///
/// Returns the rule that the head breaks.
pub(super) fn parse(received: &[u8]) -> Result<Parsed, Rule> {
    // The parser skips empty lines, which may come before a request only.
    if matches!(received.first(), Some(b'\r' | b'\n')) {
        return Err(Rule::StartLine);
    }
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut raw);
    let length = match response.parse(received).map_err(broken_rule)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if received.len() < MAX_HEAD_BYTES => {
            http1::check_line_ends(received)?;
            return Ok(Parsed::Partial);
        }
        httparse::Status::Partial => return Err(Rule::HeadSize),
    };
    http1::check_line_ends(&received[..length])?;
    let status = response.code.ok_or(Rule::Status)?;
    let version = if response.version == Some(1) { Version::Http11 } else { Version::Http10 };
    let headers = convert_headers(response.headers)?;
    let fields = headers.iter().map(|field| (field.name.as_str(), field.value.as_str()));
    let framing = Framing::try_from(Declaration::new(version, fields))?;
    Ok(Parsed::Complete { length, head: ResponseHead { status, version, headers, framing } })
}

/// Returns the rule that a head breaks which the parser rejects.
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

/// Returns the headers with names in lower case. Values have to be UTF-8.
fn convert_headers(raw: &[httparse::Header<'_>]) -> Result<Vec<Field>, Rule> {
    let convert = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).map_err(|_| Rule::FieldValue)?;
        Ok(Field { name: header.name.to_ascii_lowercase(), value: value.to_string() })
    };
    raw.iter().map(convert).collect()
}

/// Returns the values of the headers `name`, without blanks around them.
fn find_headers<'a>(headers: &'a [Field], name: &str) -> impl Iterator<Item = &'a str> {
    let fields = headers.iter().filter(move |field| field.name == name);
    fields.map(|field| field.value.trim_matches([' ', '\t']))
}
