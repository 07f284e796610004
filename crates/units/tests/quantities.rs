//! Tests of parsing and formatting quantities with units.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use units::{Rate, Size, Span};

#[test_case("250ms", 250; "milliseconds")]
#[test_case("2s", 2_000; "seconds")]
#[test_case("90s", 90_000; "seconds beyond a minute")]
#[test_case("5m", 300_000; "minutes")]
#[test_case("1h", 3_600_000; "hours")]
#[test_case("7d", 604_800_000; "days")]
fn a_time_span_is_parsed_into_milliseconds_and_formatted_unchanged(text: &str, millis: u64) {
    let span: Span = text.parse().unwrap();
    assert_eq!(span.as_millis(), millis);
    assert_eq!(span.to_string(), text);
}

#[test_case("64KiB", 65_536; "kibibytes")]
#[test_case("4MiB", 4_194_304; "mebibytes")]
#[test_case("512B", 512; "bytes")]
fn a_byte_size_is_parsed_into_bytes_and_formatted_unchanged(text: &str, bytes: usize) {
    let size: Size = text.parse().unwrap();
    assert_eq!(size.as_bytes(), bytes);
    assert_eq!(size.to_string(), text);
}

#[test_case("150/s", 150.0; "per second")]
#[test_case("30/m", 0.5; "per minute")]
fn a_rate_is_parsed_into_events_per_second_and_formatted_unchanged(text: &str, per_second: f64) {
    let rate: Rate = text.parse().unwrap();
    assert!((rate.as_per_second() - per_second).abs() < 1e-9);
    assert_eq!(rate.to_string(), text);
}

#[test_case("ten"; "missing number")]
#[test_case("10"; "missing unit")]
#[test_case("10 parsecs"; "unknown unit")]
#[test_case("-1s"; "negative")]
#[test_case("99999999999999999999s"; "number too large")]
#[test_case("18446744073709551615d"; "time span too large")]
fn the_error_for_an_invalid_time_span_names_the_quantity_and_the_text(text: &str) {
    let error = text.parse::<Span>().unwrap_err().to_string();
    assert!(error.contains("span of time"), "{error}");
    assert!(error.contains(text), "{error}");
}
