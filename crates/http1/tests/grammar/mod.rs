//! A second reading of messages, written from RFC 9112 and RFC 9110 for tests. It reads a whole message
//! at once, by its lines, and shares no code with the readers.
//!
//! Where the RFCs leave a choice it decides as the product does: a message whose framing is given twice
//! is invalid, of the transfer encodings only `chunked` is valid, and values have to be UTF-8.

#![allow(dead_code)]

/// Field of a head, with the name in lower case and a value without blanks around it.
type Field = (String, String);

/// What a head and the bytes behind it mean.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    pub start_line: String,
    pub fields: Vec<Field>,
    /// Body that the framing delimits, or `None` if the head tells of no end.
    pub body: Option<Vec<u8>>,
    /// Trailers of a body in chunks.
    pub trailers: usize,
    /// Bytes behind the message.
    pub rest: Vec<u8>,
}

/// Returns the bytes before the first CR LF and those behind it.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    Some((&bytes[..end], &bytes[end + 2..]))
}

/// `tchar` of RFC 9110, section 5.6.2.
fn is_tchar(byte: u8) -> bool {
    matches!(byte,
        b'!' | b'#' | b'$' | b'%' | b'&' | b'\'' | b'*' | b'+' | b'-' | b'.' | b'^' | b'_' | b'`'
        | b'|' | b'~' | b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z')
}

/// `HTAB / SP / VCHAR / obs-text`.
fn is_text(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().copied().all(is_tchar)
}

/// Returns whether `line` is a `field-line` of RFC 9112, section 5.
fn is_field(line: &[u8]) -> bool {
    let colon = line.iter().position(|byte| *byte == b':');
    colon.is_some_and(|colon| {
        is_token(&line[..colon]) && line[colon + 1..].iter().copied().all(is_text)
    })
}

/// Reads the name and the value of a field. `None` if the line is not one.
fn field(line: &[u8]) -> Option<Field> {
    let colon = line.iter().position(|byte| *byte == b':').filter(|_| is_field(line))?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let name = String::from_utf8(name.to_ascii_lowercase()).ok()?;
    let value = std::str::from_utf8(value).ok()?;
    Some((name, value.trim_matches([' ', '\t']).to_string()))
}

/// Reads a head, and returns its first line, its fields and the bytes behind it.
fn head(bytes: &[u8]) -> Option<(String, Vec<Field>, &[u8])> {
    let (start_line, mut rest) = split_line(bytes)?;
    if !start_line.iter().copied().all(is_text) {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let (line, behind) = split_line(rest)?;
        rest = behind;
        if line.is_empty() {
            return Some((String::from_utf8_lossy(start_line).into_owned(), fields, rest));
        }
        fields.push(field(line)?);
    }
}

/// How the fields of a head delimit its body.
enum Delimiter {
    Length(u64),
    Chunks,
    Nothing,
}

/// RFC 9112, sections 6.1 to 6.3. `None` if the fields are invalid.
fn delimiter(fields: &[Field], is_http_1_0: bool) -> Option<Delimiter> {
    let values = |name: &str| -> Vec<&str> {
        fields.iter().filter(|field| field.0 == name).map(|field| field.1.as_str()).collect()
    };
    match (values("transfer-encoding").as_slice(), values("content-length").as_slice()) {
        ([], []) => Some(Delimiter::Nothing),
        ([], [length]) => {
            let mut number = 0u64;
            for digit in length.chars() {
                let digit = "0123456789".find(digit)?;
                number = number.checked_mul(10)?.checked_add(digit as u64)?;
            }
            (!length.is_empty()).then_some(Delimiter::Length(number))
        }
        ([encoding], []) if encoding.eq_ignore_ascii_case("chunked") && !is_http_1_0 => {
            Some(Delimiter::Chunks)
        }
        _ => None,
    }
}

/// `chunk-size [ chunk-ext ]` of RFC 9112, section 7.1. `None` if the line is not valid.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, mut extensions) = line.split_at(digits);
    let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    while !extensions.is_empty() {
        extensions = extension(extensions)?;
    }
    Some(size)
}

fn skip_blanks(bytes: &[u8]) -> &[u8] {
    let blanks = bytes.iter().take_while(|byte| matches!(byte, b' ' | b'\t')).count();
    &bytes[blanks..]
}

/// Returns the bytes behind the token at the start of `bytes`.
fn behind_token(bytes: &[u8]) -> Option<&[u8]> {
    let length = bytes.iter().take_while(|byte| is_tchar(**byte)).count();
    (length > 0).then(|| &bytes[length..])
}

/// Returns the bytes behind the quoted string at the start of `bytes`.
fn behind_quoted(bytes: &[u8]) -> Option<&[u8]> {
    let mut rest = bytes.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', behind @ ..] => return Some(behind),
            [b'\\', escaped, behind @ ..] if is_text(*escaped) => behind,
            [b'\\', ..] => return None,
            [byte, behind @ ..] if is_text(*byte) => behind,
            _ => return None,
        };
    }
}

/// `BWS ";" BWS chunk-ext-name [ BWS "=" BWS chunk-ext-val ]`. Returns the bytes behind it.
fn extension(bytes: &[u8]) -> Option<&[u8]> {
    let name = skip_blanks(skip_blanks(bytes).strip_prefix(b";")?);
    let behind_name = behind_token(name)?;
    match skip_blanks(behind_name).strip_prefix(b"=") {
        None => Some(behind_name),
        Some(value) => {
            let value = skip_blanks(value);
            if value.starts_with(b"\"") { behind_quoted(value) } else { behind_token(value) }
        }
    }
}

/// `chunked-body` of RFC 9112, section 7.1: the data, the number of trailers, and the bytes behind it.
fn chunked_body(mut bytes: &[u8]) -> Option<(Vec<u8>, usize, &[u8])> {
    let mut data = Vec::new();
    loop {
        let (line, behind) = split_line(bytes)?;
        let size = usize::try_from(chunk_size(line)?).ok()?;
        if size == 0 {
            bytes = behind;
            break;
        }
        data.extend_from_slice(behind.get(..size)?);
        bytes = behind[size..].strip_prefix(b"\r\n")?;
    }
    let mut trailers = 0;
    loop {
        let (line, behind) = split_line(bytes)?;
        bytes = behind;
        if line.is_empty() {
            return Some((data, trailers, bytes));
        }
        is_field(line).then_some(())?;
        trailers += 1;
    }
}

/// Returns `bytes` without the empty lines before them.
fn skip_empty_lines(mut bytes: &[u8]) -> &[u8] {
    while let Some(rest) = bytes.strip_prefix(b"\r\n") {
        bytes = rest;
    }
    bytes
}

/// Returns the fields with which `bytes` begin, behind empty lines. Values that are not UTF-8 are
/// replaced.
pub fn first_fields(bytes: &[u8]) -> Vec<Field> {
    let mut bytes = skip_empty_lines(bytes);
    let mut fields = Vec::new();
    while let Some((line, behind)) = split_line(bytes).filter(|(line, _)| is_field(line)) {
        let text = String::from_utf8_lossy(line);
        let (name, value) = text.split_once(':').unwrap();
        fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        bytes = behind;
    }
    fields
}

/// Returns whether `bytes` begin with a whole chunk behind empty lines, or are a last chunk alone.
pub fn begins_with_chunk(bytes: &[u8]) -> bool {
    let bytes = skip_empty_lines(bytes);
    let Some((line, behind)) = split_line(bytes) else {
        return false;
    };
    match chunk_size(line).and_then(|size| usize::try_from(size).ok()) {
        None => false,
        Some(0) => chunked_body(bytes).is_some(),
        Some(size) => behind.get(size..).is_some_and(|behind| behind.starts_with(b"\r\n")),
    }
}

/// Reads the message at the start of `bytes`; `None` if it is invalid or incomplete. `has_no_body` says
/// from the first line whether no body follows.
pub fn message<F, G>(bytes: &[u8], is_http_1_0: F, has_no_body: G) -> Option<Message>
where
    F: Fn(&str) -> bool,
    G: Fn(&str) -> bool,
{
    let (start_line, fields, behind) = head(bytes)?;
    let delimiter = delimiter(&fields, is_http_1_0(&start_line))?;
    let (body, trailers, rest) = match delimiter {
        _ if has_no_body(&start_line) => (Some(Vec::new()), 0, behind),
        Delimiter::Nothing => (None, 0, behind),
        Delimiter::Length(length) => {
            let length = usize::try_from(length).ok()?;
            (Some(behind.get(..length)?.to_vec()), 0, &behind[length..])
        }
        Delimiter::Chunks => {
            let (data, trailers, rest) = chunked_body(behind)?;
            (Some(data), trailers, rest)
        }
    };
    Some(Message { start_line, fields, body, trailers, rest: rest.to_vec() })
}

/// Calls `check` with each message that differs from `sound` in one byte: replaced by every value,
/// dropped, or doubled.
pub fn for_each_damage<F>(sound: &[u8], mut check: F)
where
    F: FnMut(&[u8]),
{
    for position in 0..sound.len() {
        let mut bytes = sound.to_vec();
        for value in 0..=u8::MAX {
            bytes[position] = value;
            check(&bytes);
        }
        let mut bytes = sound.to_vec();
        bytes.remove(position);
        check(&bytes);
        let mut bytes = sound.to_vec();
        bytes.insert(position, sound[position]);
        check(&bytes);
    }
}
