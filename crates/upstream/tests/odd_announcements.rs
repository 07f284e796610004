//! Announcements and reports that cannot be read or make no sense.

#![allow(clippy::unwrap_used)]

use upstream::Announcement;

const SOUND: &str = r#"{"upstream":"caption-3","incarnation":1796352469049873,
"data_centre":"giza","address":"10.1.0.7:8000","protocol":"chat-completions",
"models":["caption-small"],"slots":16,"labels":{"floor":"2"},"expires_in":"3s"}"#;

#[test]
fn a_sound_announcement_is_accepted() {
    assert!(Announcement::try_from(SOUND.as_bytes()).is_ok());
}

#[test]
fn the_error_text_of_an_announcement_does_not_repeat_an_endless_value() {
    let body = SOUND.replace("chat-completions", &"p".repeat(1 << 20));
    let text = Announcement::try_from(body.as_bytes()).unwrap_err().to_string();
    assert!(text.len() <= 1024, "{} bytes", text.len());
}
