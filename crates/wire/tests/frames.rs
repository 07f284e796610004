//! FrameBuffer are accepted only if they are complete, authenticated, in order and not replayed.

#![allow(clippy::unwrap_used)]

use names::{Incarnation, Instance};
use proptest::prelude::*;
use test_case::test_case;
use wire::{
    Datagram, Error, FrameBuffer, Initiator, Keyring, ReplayWindow, Responder, Session, Slice,
};

fn instance(name: &str) -> Instance {
    name.parse().unwrap()
}

fn keyring(secrets: &[&str]) -> Keyring {
    let secrets: Vec<String> = secrets.iter().map(|secret| secret.to_string()).collect();
    Keyring::new(&secrets)
}

fn datagram(sequence: u64) -> Datagram {
    Datagram {
        version: 1,
        sender: instance("a"),
        incarnation: Incarnation(7),
        sequence,
        addressee: instance("b"),
        slice: Slice::Membership,
        payload: vec![1, 2, 3],
    }
}

fn sessions(initiator: &Keyring, responder: &Keyring) -> Result<(Session, Session), Error> {
    let (handshake, hello) =
        Initiator::start(initiator.clone(), instance("a"), Incarnation(1), instance("b"), 11)?;
    let (hello, welcome, receiving) = Responder::accept(responder, &instance("b"), 22, &hello)?;
    assert_eq!(hello.sender, instance("a"));
    Ok((handshake.finish(&welcome)?, receiving))
}

#[test]
fn a_sealed_datagram_opens_only_at_its_addressee() {
    let keys = keyring(&["first secret of the fleet"]);
    let bytes = datagram(1).seal(&keys).unwrap();
    assert_eq!(Datagram::open(&bytes, &keys, &instance("b")).unwrap(), datagram(1));
    let misdirected = Datagram::open(&bytes, &keys, &instance("c"));
    assert!(matches!(misdirected, Err(Error::Misdirected { .. })));
}

#[test]
fn a_datagram_that_does_not_fit_one_packet_is_refused() {
    let large = Datagram { payload: vec![0; 1400], ..datagram(1) };
    let sealed = large.seal(&keyring(&["first secret of the fleet"]));
    assert!(matches!(sealed, Err(Error::TooLarge { .. })));
}

#[test_case(&["old secret"], &["old secret"], true; "the same secret")]
#[test_case(&["new secret", "old secret"], &["old secret", "new secret"], true; "during rotation")]
#[test_case(&["new secret"], &["old secret"], false; "no common secret")]
fn a_secret_can_be_replaced_while_two_are_accepted(
    signing: &[&str],
    accepting: &[&str],
    opens: bool,
) {
    let bytes = datagram(1).seal(&keyring(signing)).unwrap();
    let opened = Datagram::open(&bytes, &keyring(accepting), &instance("b"));
    assert_eq!(opened.is_ok(), opens);
    assert_eq!(sessions(&keyring(signing), &keyring(accepting)).is_ok(), opens);
}

#[test]
fn session_frames_open_in_order_and_only_once() {
    let keys = keyring(&["first secret of the fleet"]);
    let (mut sender, mut receiver) = sessions(&keys, &keys).unwrap();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    sender.seal(Slice::State, b"one", &mut first);
    sender.seal(Slice::State, b"two", &mut second);
    assert_eq!(receiver.open(&first).unwrap(), (Slice::State, b"one".to_vec()));
    assert!(matches!(receiver.open(&first), Err(Error::Unauthenticated)));
}

#[test]
fn a_replayed_hello_gives_no_session_for_recorded_frames() {
    let keys = keyring(&["first secret of the fleet"]);
    let (handshake, hello) =
        Initiator::start(keys.clone(), instance("a"), Incarnation(1), instance("b"), 11).unwrap();
    let (_, welcome, _) = Responder::accept(&keys, &instance("b"), 22, &hello).unwrap();
    let mut sender = handshake.finish(&welcome).unwrap();
    let mut frame = Vec::new();
    sender.seal(Slice::State, b"one", &mut frame);
    let (_, _, mut replayed) = Responder::accept(&keys, &instance("b"), 33, &hello).unwrap();
    assert!(matches!(replayed.open(&frame), Err(Error::Unauthenticated)));
}

#[test]
fn a_frame_with_a_length_above_the_limit_is_refused() {
    let mut frames = FrameBuffer::default();
    frames.push(&u32::MAX.to_le_bytes());
    assert!(matches!(frames.next_frame(), Err(Error::TooLarge { .. })));
}

proptest! {
    #[test]
    fn a_changed_or_truncated_datagram_never_opens(
        position in 0_usize..60,
        flip in 1_u8..=255,
        cut in 0_usize..60,
    ) {
        let keys = keyring(&["first secret of the fleet"]);
        let bytes = datagram(1).seal(&keys).unwrap();
        let mut changed = bytes.clone();
        let position = position % changed.len();
        changed[position] ^= flip;
        prop_assert!(Datagram::open(&changed, &keys, &instance("b")).is_err());
        let cut = cut % bytes.len();
        prop_assert!(Datagram::open(&bytes[..cut], &keys, &instance("b")).is_err());
    }

    #[test]
    fn random_bytes_never_open(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let keys = keyring(&["first secret of the fleet"]);
        prop_assert!(Datagram::open(&bytes, &keys, &instance("b")).is_err());
        prop_assert!(Responder::accept(&keys, &instance("b"), 1, &bytes).is_err());
    }

    #[test]
    fn frames_split_at_any_position_are_reassembled_unchanged(
        payloads in proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..300), 0..20),
        step in 1_usize..50,
    ) {
        let mut stream = Vec::new();
        for payload in &payloads {
            FrameBuffer::append(payload, &mut stream).unwrap();
        }
        let mut frames = FrameBuffer::default();
        let mut received = Vec::new();
        for piece in stream.chunks(step) {
            frames.push(piece);
            while let Some(frame) = frames.next_frame().unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, payloads);
    }

    #[test]
    fn each_sequence_number_is_accepted_at_most_once(
        numbers in proptest::collection::vec(0_u64..300, 1..400),
    ) {
        let mut window = ReplayWindow::default();
        let mut accepted = Vec::new();
        for number in numbers {
            if window.accept(number) {
                prop_assert!(!accepted.contains(&number));
                accepted.push(number);
            }
        }
    }
}
