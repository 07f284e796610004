//! Names are well formed or refused with a reason.

#![allow(clippy::unwrap_used)]

use names::{Error, Instance, Request};
use test_case::test_case;

#[test_case("giza-1"; "plain")]
#[test_case("org/model:7b_v1.2"; "with punctuation")]
fn a_well_formed_name_is_kept(text: &str) {
    assert_eq!(text.parse::<Instance>().unwrap().to_string(), text);
}

#[test_case("", "is empty"; "empty")]
#[test_case("two words", "contains ' '"; "space")]
#[test_case("line\nbreak", "contains '\\n'"; "line break")]
fn a_malformed_name_is_refused(text: &str, reason: &str) {
    let error = text.parse::<Instance>().unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_long_name_is_refused() {
    let error = "x".repeat(97).parse::<Instance>().unwrap_err();
    assert!(matches!(error, Error::Long { length: 97, limit: 96, .. }));
}

#[test]
fn a_request_id_is_written_and_read_as_hexadecimal() {
    let id = Request(0xab);
    assert_eq!(id.to_string(), "00000000000000ab");
    assert_eq!(id.to_string().parse::<Request>().unwrap(), id);
    assert!("not hexadecimal".parse::<Request>().is_err());
}
