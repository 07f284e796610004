//! Quantities are read and written with their units.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use units::{Rate, Size, Span};

#[test_case("250ms", 250; "milliseconds")]
#[test_case("2s", 2_000; "seconds")]
#[test_case("90s", 90_000; "seconds beyond a minute")]
#[test_case("5m", 300_000; "minutes")]
#[test_case("1h", 3_600_000; "hours")]
#[test_case("7d", 604_800_000; "days")]
fn a_span_is_read_in_milliseconds(text: &str, millis: u64) {
    let span: Span = text.parse().unwrap();
    assert_eq!(span.as_millis(), millis);
    assert_eq!(span.to_string(), text);
}

#[test_case("64KiB", 65_536; "kibibytes")]
#[test_case("4MiB", 4_194_304; "mebibytes")]
#[test_case("512B", 512; "bytes")]
fn a_size_is_read_in_bytes(text: &str, bytes: usize) {
    let size: Size = text.parse().unwrap();
    assert_eq!(size.as_bytes(), bytes);
    assert_eq!(size.to_string(), text);
}

#[test_case("150/s", 150.0; "a second")]
#[test_case("30/m", 0.5; "a minute")]
fn a_rate_is_read_a_second(text: &str, per_second: f64) {
    let rate: Rate = text.parse().unwrap();
    assert!((rate.as_per_second() - per_second).abs() < 1e-9);
    assert_eq!(rate.to_string(), text);
}

#[test_case("ten"; "no number")]
#[test_case("10"; "no unit")]
#[test_case("10 parsecs"; "unknown unit")]
#[test_case("-1s"; "negative")]
#[test_case("99999999999999999999s"; "too large a number")]
#[test_case("18446744073709551615d"; "too large a span")]
fn a_wrong_span_is_refused_by_name(text: &str) {
    let error = text.parse::<Span>().unwrap_err().to_string();
    assert!(error.contains("span of time"), "{error}");
    assert!(error.contains(text), "{error}");
}
