//! Fields that are probably damaged ones.

/// Fields that tell where a body ends.
pub(crate) const FRAMING_FIELDS: [&str; 2] = ["content-length", "transfer-encoding"];

/// Returns whether a field is probably a damaged one that told where the body ends: its name, in lower
/// case, is one edit away from that of such a field, or its value is `chunked`.
pub fn resembles_framing(name: &str, value: &str) -> bool {
    let is_near = |field: &&str| {
        name.len().abs_diff(field.len()) <= 1 && strsim::osa_distance(name, field) == 1
    };
    FRAMING_FIELDS.iter().any(is_near) || value.eq_ignore_ascii_case("chunked")
}
