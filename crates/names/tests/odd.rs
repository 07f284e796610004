//! Texts that cite values that make no sense.

use names::shorten;

#[test]
fn only_an_endless_text_is_cut_and_at_whole_characters() {
    assert_eq!(shorten("address 0.0.0.0:9".to_string()), "address 0.0.0.0:9");
    for endless in ["a\u{e9}".repeat(1 << 16), "\u{1f300}".repeat(1 << 16)] {
        let text = shorten(format!("start {endless} end"));
        assert!(text.len() < 600, "{}", text.len());
        assert!(text.starts_with("start ") && text.ends_with(" end"));
    }
}
