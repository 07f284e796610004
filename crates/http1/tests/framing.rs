//! Framing of messages by their fields.

#![allow(clippy::unwrap_used)]

use http1::{Declaration, Framing, Length, Rule, Version};
use test_case::test_case;

const LENGTH: &str = "content-length";
const ENCODING: &str = "transfer-encoding";

#[test_case(&[] => Ok(Framing::UntilClose); "nothing")]
#[test_case(&[("x", "5")] => Ok(Framing::UntilClose); "other fields")]
#[test_case(&[(LENGTH, "0")] => Ok(Framing::Length(Length(0))); "zero")]
#[test_case(&[(LENGTH, "00000000000000000000030")] => Ok(Framing::Length(Length(30))); "zeros before a length")]
#[test_case(&[(LENGTH, "18446744073709551615")] => Ok(Framing::Length(Length(u64::MAX))); "largest length")]
#[test_case(&[(ENCODING, "ChunkeD")] => Ok(Framing::Chunks); "chunks")]
#[test_case(&[(LENGTH, "18446744073709551616")] => Err(Rule::ContentLength); "too large a length")]
#[test_case(&[(LENGTH, "")] => Err(Rule::ContentLength); "no digit")]
#[test_case(&[(LENGTH, "+30")] => Err(Rule::ContentLength); "plus sign")]
#[test_case(&[(LENGTH, "-0")] => Err(Rule::ContentLength); "minus sign")]
#[test_case(&[(LENGTH, "3 0")] => Err(Rule::ContentLength); "blank between digits")]
#[test_case(&[(LENGTH, "30\u{a0}")] => Err(Rule::ContentLength); "blank that is not ASCII")]
#[test_case(&[(LENGTH, "\u{663}")] => Err(Rule::ContentLength); "digit that is not ASCII")]
#[test_case(&[(LENGTH, "30"), (LENGTH, "31")] => Err(Rule::ContentLength); "two lengths")]
#[test_case(&[(LENGTH, "30, 31")] => Err(Rule::ContentLength); "two lengths in one field")]
#[test_case(&[(ENCODING, "")] => Err(Rule::TransferEncoding); "no encoding")]
#[test_case(&[(ENCODING, "gzip, chunked")] => Err(Rule::TransferEncoding); "another encoding before chunks")]
#[test_case(&[(ENCODING, "chunked\u{a0}")] => Err(Rule::TransferEncoding); "encoding and a blank that is not ASCII")]
#[test_case(&[(ENCODING, "chunked"), (ENCODING, "chunked")] => Err(Rule::TransferEncoding); "chunks twice")]
#[test_case(&[(ENCODING, "chunked"), (LENGTH, "30")] => Err(Rule::LengthAndEncoding); "chunks and a length")]
#[test_case(&[(LENGTH, "x"), (ENCODING, "gzip")] => Err(Rule::LengthAndEncoding); "both invalid")]
fn a_declaration_has_one_meaning_or_none(fields: &[(&str, &str)]) -> Result<Framing, Rule> {
    Framing::try_from(Declaration::new(Version::Http11, fields.iter().copied()))
}

#[test]
fn a_version_without_encodings_has_no_chunks() {
    let declared = |fields: &[(&'static str, &'static str)]| {
        Framing::try_from(Declaration::new(Version::Http10, fields.iter().copied()))
    };
    assert_eq!(declared(&[(ENCODING, "chunked")]), Err(Rule::TransferEncoding));
    assert_eq!(declared(&[(LENGTH, "5")]), Ok(Framing::Length(Length(5))));
    assert_eq!(declared(&[]), Ok(Framing::UntilClose));
}
