//! Line ends of heads.

use crate::Rule;

/// Checks that each line of `head`, which may be the beginning of a head, ends with CR LF. A parser
/// that accepts LF alone would end the head at a damaged line and take the fields behind it for the
/// body.
///
/// # Errors
///
/// Returns [`Rule::LineEnd`] for a line that ends with LF alone.
pub fn check_line_ends(head: &[u8]) -> Result<(), Rule> {
    let is_bare = |(index, byte): (usize, &u8)| {
        *byte == b'\n' && index.checked_sub(1).is_none_or(|before| head[before] != b'\r')
    };
    if head.iter().enumerate().any(is_bare) { Err(Rule::LineEnd) } else { Ok(()) }
}
