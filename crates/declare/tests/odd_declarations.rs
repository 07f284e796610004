//! Declarations with values that make no sense, or that a parser could stumble over.

#![allow(clippy::unwrap_used)]

use declare::Declarations;

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
