//! Declarations with values that make no sense, or that a parser could stumble over.

#![allow(clippy::unwrap_used)]

use declare::Declarations;
use test_case::test_case;

fn parse(text: String) -> Result<Declarations, declare::Error> {
    Declarations::try_from(text)
}

/// Returns two kinds of work, of which each has the least share `percent`.
fn kinds(percent: &str) -> String {
    let kind = |name| {
        format!(
            "  - {{name: {name}, rank: normal, deadline: 1s, least_share_percent: {percent}}}\n"
        )
    };
    format!("kinds:\n{}{}", kind("a"), kind("b"))
}

#[test]
fn least_shares_whose_sum_no_number_holds_are_refused() {
    assert!(parse(kinds("45")).is_ok());
    for percent in ["46", "2147483648", "4294967295", "4294967296", "-1", "1e400", ".inf"] {
        assert!(parse(kinds(percent)).is_err(), "{percent}");
    }
}

#[test_case(format!("services: {}{}", "[".repeat(100_000), "]".repeat(100_000)); "nested lists")]
#[test_case(format!("services: {}", "{a: ".repeat(100_000)); "nested maps")]
#[test_case(format!("services: {}", "\n- ".repeat(1000) + &"- ".repeat(100_000)); "nested items")]
#[test_case("? ".repeat(100_000); "nested keys")]
#[test_case("&a ".repeat(100_000) + &"!b ".repeat(100_000); "names of references and types")]
#[test_case((0..2000).map(|depth| " ".repeat(depth) + "a:\n").collect::<String>(); "nested blocks")]
#[test_case("services: [{name: x, odd: ".to_string() + &"[".repeat(100_000); "nested unknown field")]
#[test_case(
    (0..60).fold("l0: &l0 [x]\n".to_string(), |text, level| {
        text + &format!("l{0}: &l{0} [*l{level}, *l{level}, *l{level}]\n", level + 1)
    }); "references that multiply"
)]
#[test_case("kinds: [{name: a, rank: normal, deadline: 18446744073709551615d}]".to_string(); "deadline too large")]
#[test_case("kinds: &k [{name: a, rank: normal, deadline: 1s, labels: {x: *k}}]".to_string(); "reference to itself")]
fn an_odd_document_is_refused(text: String) {
    assert!(parse(text).is_err());
}
