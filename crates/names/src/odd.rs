//! Texts that cite values that make no sense.

/// Length above which the text of an error is cut, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Returns the text of an error, cut in the middle if it cites an overlong value.
pub fn shorten(text: String) -> String {
    if text.len() <= MAX_TEXT_BYTES {
        return text;
    }
    let start = text.floor_char_boundary(MAX_TEXT_BYTES / 2);
    let end = text.ceil_char_boundary(text.len() - MAX_TEXT_BYTES / 2);
    format!("{} ... {}", &text[..start], &text[end..])
}
