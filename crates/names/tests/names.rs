//! Tests that valid names are kept and that invalid names are rejected with a reason.

#![allow(clippy::unwrap_used)]

use names::{Error, Instance, Request};
use test_case::test_case;

#[test_case("giza-1"; "plain")]
#[test_case("org/model:7b_v1.2"; "with punctuation")]
fn a_valid_name_is_parsed_unchanged(text: &str) {
    assert_eq!(text.parse::<Instance>().unwrap().to_string(), text);
}

#[test_case("", "is empty"; "empty")]
#[test_case("two words", "contains ' '"; "space")]
#[test_case("line\nbreak", "contains '\\n'"; "line break")]
fn the_error_for_an_invalid_name_states_the_reason(text: &str, reason: &str) {
    let error = text.parse::<Instance>().unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_name_longer_than_96_bytes_is_rejected() {
    let error = "x".repeat(97).parse::<Instance>().unwrap_err();
    assert!(matches!(error, Error::TooLong { length: 97, limit: 96, .. }));
}

#[test]
fn a_request_id_is_formatted_and_parsed_as_hexadecimal() {
    let id = Request(0xab);
    assert_eq!(id.to_string(), "00000000000000ab");
    assert_eq!(id.to_string().parse::<Request>().unwrap(), id);
    assert!("not hexadecimal".parse::<Request>().is_err());
}
