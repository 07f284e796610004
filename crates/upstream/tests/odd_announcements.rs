//! Announcements and reports that cannot be read or make no sense.

#![allow(clippy::unwrap_used)]

use test_case::test_case;
use upstream::cache::{Events, Snapshot};
use upstream::{Announcement, Load};

const SOUND: &str = r#"{"upstream":"caption-3","incarnation":1796352469049873,
"data_centre":"giza","address":"10.1.0.7:8000","protocol":"chat-completions",
"models":["caption-small"],"slots":16,"labels":{"floor":"2"},"expires_in":"3s"}"#;

fn nested() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

#[test]
fn a_sound_announcement_is_accepted() {
    assert!(Announcement::try_from(SOUND.as_bytes()).is_ok());
    let nanoseconds = SOUND.replace("1796352469049873", "1796352469049873000");
    assert!(Announcement::try_from(nanoseconds.as_bytes()).is_ok());
}

#[test_case(SOUND.replace(":8000", ":65536"); "port out of range")]
#[test_case(SOUND.replace(":8000", ":0"); "no port")]
#[test_case(SOUND.replace("10.1.0.7", "0.0.0.0"); "no address")]
#[test_case(SOUND.replace("10.1.0.7", "255.255.255.255"); "address of all")]
#[test_case(SOUND.replace("10.1.0.7", "[ff02::1]"); "address of a group")]
#[test_case(SOUND.replace("16", "4294967295"); "more slots than an upstream has")]
#[test_case(SOUND.replace("16", "4294967296"); "slots too large")]
#[test_case(SOUND.replace("16", "0"); "no slots")]
#[test_case(SOUND.replace("1796352469049873", "18446744073709551616"); "incarnation too large")]
#[test_case(SOUND.replace("1796352469049873", "18446744073709551615"); "incarnation that none supersedes")]
#[test_case(SOUND.replace("3s", "18446744073709551615d"); "span too large")]
#[test_case(SOUND.replace("\"2\"", &nested()); "nested label")]
#[test_case(nested(); "nested arrays")]
#[test_case("{\"odd\":".repeat(100_000); "nested objects")]
fn an_odd_announcement_is_refused(body: String) {
    assert!(Announcement::try_from(body.as_bytes()).is_err());
}

#[test]
fn an_odd_report_is_refused() {
    for body in [nested(), "{\"changes\":".repeat(100_000), "1e400".to_string()] {
        assert!(Load::try_from(body.as_bytes()).is_err());
        assert!(Events::try_from(body.as_bytes()).is_err());
        assert!(Snapshot::try_from(body.as_bytes()).is_err());
    }
}

#[test]
fn the_error_text_of_an_announcement_does_not_repeat_an_endless_value() {
    let body = SOUND.replace("chat-completions", &"p".repeat(1 << 20));
    let text = Announcement::try_from(body.as_bytes()).unwrap_err().to_string();
    assert!(text.len() <= 1024, "{} bytes", text.len());
}
