//! Whole bodies that the adapters accept although nothing frames them.

#![allow(clippy::unwrap_used)]

use dispatch::{Adapter, ChatCompletions, Field, Head, Plain};
use http1::{Declaration, Framing, Version};
use test_case::test_case;

const ERROR: &str = "{\"error\": {\"message\": \"no such model\"}}";

fn head(status: u16, framing: Option<(&str, &str)>) -> Head {
    let field = |(name, value): (&str, &str)| Field { name: name.into(), value: value.into() };
    let declaration = Declaration::new(Version::Http11, framing);
    let headers = framing.map(field).into_iter().collect();
    Head { status, headers, framing: Framing::try_from(declaration).unwrap() }
}

#[test_case(200; "answer")]
#[test_case(400; "error")]
#[test_case(500; "server error")]
fn an_unframed_chat_that_breaks_off_at_any_byte_is_not_complete(status: u16) {
    let head = head(status, None);
    for cut in 0..ERROR.len() {
        assert!(!ChatCompletions.is_complete(&head, &ERROR.as_bytes()[..cut]), "{cut}");
    }
    assert!(ChatCompletions.is_complete(&head, ERROR.as_bytes()));
}

#[test_case(("content-length", "7"); "length")]
#[test_case(("transfer-encoding", "chunked"); "chunks")]
fn an_error_whose_framing_proves_that_it_is_whole_may_be_any_text(framing: (&str, &str)) {
    assert!(ChatCompletions.is_complete(&head(404, Some(framing)), b"no such"));
    assert!(Plain.is_complete(&head(404, Some(framing)), b"no such"));
}

#[test]
fn an_unframed_plain_answer_is_not_complete() {
    assert!(!Plain.is_complete(&head(200, None), b"booked"));
}
