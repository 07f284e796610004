//! Announcements that can be read but make no sense, and what they do to the genuine upstream.

#![allow(clippy::unwrap_used)]

use roster::{Announcement, Error, Status, check_born};
use test_case::test_case;

const NOW_MILLIS: u64 = 1_796_000_000_000;
const HOUR_MILLIS: u64 = 3_600_000;

fn sound() -> Announcement {
    Announcement {
        upstream: "a".parse().unwrap(),
        service: "captions".parse().unwrap(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "giza".parse().unwrap(),
        slots: 8,
        standing: Status::Ready,
        born: NOW_MILLIS - HOUR_MILLIS,
        sequence: 4,
        cold_remaining: 0,
    }
}

#[test_case(|sound| sound; "as it should be")]
#[test_case(|sound| Announcement { born: 0, ..sound }; "start not announced")]
#[test_case(|sound| Announcement { born: NOW_MILLIS + HOUR_MILLIS, ..sound }; "clock an hour ahead")]
#[test_case(|sound| Announcement { slots: 0, ..sound }; "no slots")]
#[test_case(|sound| Announcement { sequence: NOW_MILLIS * 1000, ..sound }; "clock as sequence")]
#[test_case(|sound| Announcement { address: "[fd00::9]:1".parse().unwrap(), ..sound }; "version 6")]
#[test_case(|sound| Announcement { address: "127.0.0.9:65535".parse().unwrap(), ..sound }; "loopback")]
fn a_sound_announcement_is_accepted(change: fn(Announcement) -> Announcement) {
    assert_eq!(change(sound()).check(NOW_MILLIS), Ok(()));
}

#[test_case("10.0.0.9:0")]
#[test_case("0.0.0.0:80")]
#[test_case("224.0.0.1:80")]
#[test_case("255.255.255.255:80")]
#[test_case("[::]:80")]
#[test_case("[ff02::1]:80")]
#[test_case("[::ffff:0.0.0.0]:80")]
fn an_address_that_cannot_be_connected_to_is_refused(address: &str) {
    let odd = Announcement { address: address.parse().unwrap(), ..sound() };
    let error = odd.check(NOW_MILLIS).unwrap_err();
    assert!(matches!(error, Error::Address { .. }), "{error}");
}

#[test_case(|sound| Announcement { slots: u32::MAX, ..sound }, "slots")]
#[test_case(|sound| Announcement { sequence: u64::MAX, ..sound }, "sequence")]
#[test_case(|sound| Announcement { born: u64::MAX, ..sound }, "starts later than the clock")]
#[test_case(|sound| Announcement { born: NOW_MILLIS * 1000, ..sound }, "starts later than the clock"; "microseconds")]
fn a_number_that_makes_no_sense_is_refused(change: fn(Announcement) -> Announcement, word: &str) {
    let text = change(sound()).check(NOW_MILLIS).unwrap_err().to_string();
    assert!(text.contains(word) && text.contains("\"a\""), "{text}");
}

#[test]
fn a_clock_at_the_ends_of_its_range_refuses_no_genuine_start() {
    assert!(check_born(&sound().upstream, u64::MAX, u64::MAX).is_ok());
    assert!(check_born(&sound().upstream, 0, 0).is_ok());
}
