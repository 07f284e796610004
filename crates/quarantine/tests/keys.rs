//! Keys of whole requests.

use quarantine::Key;

#[test]
fn bytes_that_move_from_one_field_to_the_next_make_another_request() {
    let key = Key::of_request(&[b"GET", b"a.example", b"/b"]);
    assert_eq!(key, Key::of_request(&[b"GET", b"a.example", b"/b"]));
    assert_ne!(key, Key::of_request(&[b"GET", b"a.example/", b"b"]));
    assert_ne!(key, Key::of_request(&[b"GET", b"a.example", b"/b", b""]));
}
