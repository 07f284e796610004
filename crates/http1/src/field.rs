//! Field lines (RFC 9110, section 5).

use crate::Rule;
use crate::cursor::Cursor;

/// Returns whether `byte` may be part of a token, such as the name of a field.
pub(crate) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether `byte` may be part of the value of a field: text, blanks and bytes beyond ASCII.
pub(crate) fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Returns the length of the field line at the start of `received` with its line end, or none if more
/// bytes are needed.
///
/// # Errors
///
/// Returns the broken rule if the bytes do not begin a field line.
pub(crate) fn line_length(received: &[u8]) -> Result<Option<usize>, Rule> {
    let mut cursor = Cursor::new(received);
    let name_length = cursor.skip_while(is_token_byte);
    match cursor.next() {
        None => return Ok(None),
        Some(b':') if name_length > 0 => {}
        Some(_) => return Err(Rule::FieldLine),
    }
    cursor.skip_while(is_value_byte);
    cursor.line_end(Rule::FieldValue)
}
