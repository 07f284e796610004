//! End-to-end tests of answers whose damaged head is still a valid one: a caller never gets another body
//! than the upstream's as complete, and the next caller gets its own answer.

#![allow(clippy::unwrap_used)]

mod support;

use support::answer_plays::{BODY, Case, Expected, FIELDS, check_cases};
use support::script::End;
use test_case::test_case;

const PLAIN_ROUTES: [&str; 2] = ["albums", "bookings"];

/// Field of an answer whose upstream closes the connection.
const CLOSE: &str = "connection: close\r\n";

/// [`BODY`] in two chunks, one for each event.
const CHUNKS: &str = "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// A second whole answer, which belongs to no request.
const SECOND: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: other\r\nserver-stamp: s\r\ncontent-length: 5\r\n\r\nother";

/// Returns a success with `fields` and `body`.
fn ok(fields: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{FIELDS}{fields}\r\n{body}")
}

/// Returns a case for each end of the connection.
fn each_end(text: &str, expected: &Expected) -> [Case; 2] {
    [End::Close, End::KeepOpen].map(|end| Case::new(text, end, expected.clone()))
}

/// Guards against a body that is cut at a length which turned into a lesser one.
#[test_case(""; "the rest of the body behind it")]
#[test_case(SECOND; "the rest and a second answer behind it")]
fn a_length_that_is_too_small_is_a_failure_of_its_upstream(behind: &str) {
    let mut cases = Vec::new();
    for (value, length) in [("0", 0), ("00", 0), ("3", 3), ("15", 15), ("29", 29)] {
        let (first, rest) = BODY.split_at(length);
        for connection in ["", CLOSE] {
            let fields = format!("{connection}content-length: {value}\r\n");
            let text = ok(&fields, &format!("{first}^{rest}{behind}"));
            cases.extend(each_end(&text, &Expected::FailureAtOnce(200, first.to_string())));
        }
    }
    check_cases(&cases);
}

/// Guards against bytes behind an answer that are passed over because they fill one read together with
/// it, or begin with the next read.
#[test]
fn a_length_that_ends_with_a_full_read_is_a_failure_of_its_upstream() {
    let head =
        |length: usize| ok(&format!("content-length: {length}\r\n"), "").replace("ID", "albums-1");
    let sizes = [4096, 4097, 8192, 16384];
    let cases = sizes.map(|size| {
        let length = size - head(size).len();
        let body = "x".repeat(length);
        let text = head(length).replace("albums-1", "ID") + &body + "^rest";
        let expected = Expected::FailureAtOnce(200, body);
        Case { routes: &PLAIN_ROUTES, ..Case::new(text, End::KeepOpen, expected) }
    });
    check_cases(&cases);
}

/// Guards against bytes behind an answer without a body, which its upstream meant to have one.
#[test]
fn bytes_behind_an_answer_without_a_body_are_a_failure_of_its_upstream() {
    let texts = ["204 No Content", "205 Reset Content", "304 Not Modified"].map(|status| {
        let text = ok(CLOSE, &format!("^{BODY}")).replace("200 OK", status);
        let code = status[..3].parse().unwrap();
        Case::new(text, End::Close, Expected::FailureAtOnce(code, String::new()))
    });
    check_cases(&texts);
}

/// Guards against a part of an answer in chunks that is complete because a size turned into 0, and the
/// chunk passes as trailers.
#[test]
fn bytes_behind_the_last_chunk_are_a_failure_of_its_upstream() {
    let body = "12\r\nid: 1\r\ndata: a\r\n\r\n\r\n0\r\nid: 2\r\ndata: a\r\n\r\n^\r\n0\r\n\r\n";
    let first = "id: 1\r\ndata: a\r\n\r\n".to_string();
    let cases: Vec<_> = ["", CLOSE]
        .iter()
        .map(|connection| ok(&format!("{connection}transfer-encoding: chunked\r\n"), body))
        .flat_map(|text| each_end(&text, &Expected::FailureAtOnce(200, first.clone())))
        .collect();
    check_cases(&cases);
}

/// Guards against an answer that has lost its body because its status allows none.
#[test]
fn a_body_behind_a_status_that_allows_none_is_a_failure_of_its_upstream() {
    let mut cases = Vec::new();
    for status in ["204 No Content", "205 Reset Content", "103 Early Hints"] {
        for (field, body) in [("content-length: 30", BODY), ("transfer-encoding: chunked", CHUNKS)]
        {
            for connection in ["", CLOSE] {
                let text = ok(&format!("{connection}{field}\r\n"), &format!("^{body}"));
                let text = text.replace("200 OK", status);
                cases.extend(each_end(&text, &Expected::Failure));
            }
        }
    }
    check_cases(&cases);
}

/// Guards against lines between chunks that pass as the body because the field of the encoding has lost
/// its name.
#[test_case("transfer-encodi^nx"; "last letter")]
#[test_case("xransfer-enco^ding"; "first letter")]
#[test_case("transfer_enc^oding"; "hyphen")]
#[test_case("transfer-encod^in"; "a letter less")]
#[test_case("transfer-enncod^ing"; "a letter more")]
#[test_case("x-oth^er"; "another name")]
fn chunks_whose_field_has_another_name_are_a_failure_of_their_upstream(name: &str) {
    let field = format!("{name}: chunked\r\n");
    let split = CHUNKS.replacen("\r\nid", "\r\ni^d", 1);
    let mut cases = Vec::new();
    for chunks in
        [CHUNKS, "1e^\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", &split, "0\r\n^\r\n"]
    {
        for connection in ["", CLOSE] {
            let text = ok(&format!("{connection}{field}"), chunks);
            cases.push(Case::new(text, End::Close, Expected::Failure));
        }
    }
    check_cases(&cases);
}

/// Guards against a part of a body, or bytes behind it, that pass as complete because the field of the
/// length has lost its name.
#[test]
fn a_length_whose_field_has_another_name_is_a_failure_of_its_upstream() {
    let names =
        ["content-lengtx", "contentt-length", "content_length", "content-lenght", "ontent-length"];
    let bodies = [&BODY[..15], &format!("{BODY}{SECOND}")].map(str::to_string);
    let mut cases = Vec::new();
    for name in names {
        for body in &bodies {
            let text = ok(&format!("{CLOSE}{name}: 30\r\n"), body);
            cases.push(Case::new(text, End::Close, Expected::Failure));
        }
    }
    check_cases(&cases);
}

/// Guards against chunks that pass as the body because nothing is left of the field of the encoding.
#[test]
fn chunks_without_a_field_are_a_failure_of_their_upstream() {
    let large = format!("5000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x5000));
    let bodies =
        [CHUNKS.to_string(), CHUNKS.replace("f\r\n", "f;a=b^\r\n"), "0^\r\n\r\n".to_string()];
    let case = |text: String| Case::new(text, End::Close, Expected::Failure);
    let of_any_size = bodies.iter().flat_map(|body| [ok("", body), ok(CLOSE, body)]);
    // It arrives byte by byte, too, and is therefore played on few routes.
    let large = Case { routes: &["bookings", "captions"], ..case(ok(CLOSE, &large)) };
    let cases: Vec<_> = of_any_size.map(case).chain([large]).collect();
    check_cases(&cases);
}

/// Guards against fields that pass as the body because an empty line within the head ends it.
#[test]
fn an_empty_line_within_a_head_is_a_failure_of_its_upstream() {
    let mut cases = Vec::new();
    let framings = [("content-length: 30\r\n", BODY), ("transfer-encoding: chunked\r\n", CHUNKS)];
    for (framing, body) in framings {
        for (before, behind) in [
            (CLOSE, String::new()),
            (CLOSE, "server-load: 1,0,8\r\n".to_string()),
            ("", String::new()),
            ("", CLOSE.to_string()),
        ] {
            for empty in ["\r^\n", "\r\n^\r\n"] {
                let text = ok(before, &format!("{behind}{framing}{empty}{body}"));
                cases.push(Case::new(text, End::Close, Expected::Failure));
            }
        }
    }
    for fields in [CLOSE, "server-load: 1,0^,8\r\n", "date: today\r\nServer-Leaving: 1\r\n"] {
        let text = ok("", &format!("{fields}\r^\n{BODY}"));
        cases.push(Case::new(text, End::Close, Expected::Failure));
    }
    check_cases(&cases);
}

/// Guards against the refusal of a sound answer.
#[test]
fn a_sound_answer_stays_whole() {
    let length = "content-length: 30\r\n";
    let chunked = "transfer-encoding: chunked\r\n";
    let late = SECOND.replace(
        "content-length: 5\r\n\r\nother",
        "transfer-encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
    );
    let extended =
        CHUNKS.replace("f\r\n", "0f ;a=\"b\"\r\n").replace("0\r\n\r\n", "0\r\nid: 3\r\n\r\n");
    let texts = [
        (ok(length, BODY), End::KeepOpen),
        (ok(length, &format!("{BODY}^{SECOND}")), End::KeepOpen),
        (ok(length, &format!("{BODY}^{}", ok(length, BODY))), End::Close),
        (ok(length, &format!("{BODY}^HTTP")), End::Close),
        (format!("{SECOND}{late}^{}", ok(length, BODY)), End::KeepOpen),
        (ok(chunked, &format!("{extended}^{SECOND}")), End::KeepOpen),
        (ok(chunked, &extended), End::KeepOpen),
        (ok(CLOSE, BODY), End::Close),
        (ok("", BODY), End::Close),
        (ok("x-content-length: 15\r\n", BODY), End::Close),
    ];
    let whole =
        |(text, end): (String, End)| Case::new(text, end, Expected::Whole(BODY.to_string()));
    check_cases(&texts.map(whole));
}

/// Guards against the refusal of a sound body that begins like a chunk or a head.
#[test]
fn a_sound_body_of_any_text_stays_whole() {
    let bodies = [
        "",
        "1e is a number\r\n",
        "1e\r\nis a number",
        "cafe\r\nbabe\r\n",
        "3\r\nabc",
        "3\r\nabcd\r\n",
        "3\nabc\n0\n\n",
        "text\r\n3\r\nabc\r\n0\r\n\r\n",
        "name: value\r\nother: value\r\n\r\ncontent-length: 3\r\n\r\nabc",
        "content-length is a field",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    ];
    let mut cases = Vec::new();
    for body in bodies {
        let marked = format!("^{body}").replacen('\r', "\r^", 1);
        let fields = [CLOSE.to_string(), format!("content-length: {}\r\n", body.len())];
        for fields in fields {
            let text = ok(&fields, &marked).replace("event-stream", "plain");
            let end = if fields == CLOSE { End::Close } else { End::KeepOpen };
            let case = Case::new(text, end, Expected::Whole(body.to_string()));
            cases.push(Case { routes: &PLAIN_ROUTES, ..case });
        }
    }
    check_cases(&cases);
}
