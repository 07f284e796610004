//! Changes between documents, and documents that earlier versions compressed.

#![allow(clippy::unwrap_used)]

mod simulation;

use catalogue::{Change, Command, Document, Newest, Number, Outcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulation::operator::text;
use state::{Index, Machine};

fn apply(newest: &mut Newest, command: &Command) -> Outcome {
    let command = postcard::to_allocvec(command).unwrap();
    postcard::from_bytes(&newest.apply(Index(1), &command)).unwrap()
}

fn newest_with(number: u64) -> Newest {
    let mut newest = Newest::default();
    let document = Document::pack(Number(number), &text(number));
    assert_eq!(apply(&mut newest, &Command::Offer(document)), Outcome::Held(Number(number)));
    newest
}

#[test]
fn a_large_document_is_updated_by_a_small_change() {
    let mut newest = newest_with(120);
    let command = newest.offer(Number(121), &text(121));
    assert!(matches!(&command, Command::Amend(change) if change.size() < 1000));
    assert_eq!(apply(&mut newest, &command), Outcome::Held(Number(121)));
    assert_eq!(newest.document().text().unwrap(), text(121));
    assert_eq!(newest.document(), &Document::pack(Number(121), &text(121)));
}

#[test]
fn the_first_document_is_proposed_without_a_change() {
    let command = Newest::default().offer(Number(1), &text(1));
    assert!(matches!(command, Command::Offer(_)));
}

#[test]
fn a_change_whose_base_is_not_the_newest_document_is_not_applied() {
    let change = newest_with(5).offer(Number(9), &text(9));
    let mut newest = newest_with(7);
    assert_eq!(apply(&mut newest, &change), Outcome::Missed(Number(7)));
    assert_eq!(newest.document().text().unwrap(), text(7));
    let mut newest = newest_with(12);
    assert_eq!(apply(&mut newest, &change), Outcome::Held(Number(12)), "the change is outdated");
    let mut empty = Newest::default();
    assert_eq!(apply(&mut empty, &change), Outcome::Missed(Number(0)));
}

#[test]
fn a_change_is_not_applied_to_another_text_of_the_same_number() {
    let change = newest_with(5).offer(Number(9), &text(9));
    let mut newest = Newest::default();
    let other = Document::pack(Number(5), b"another text");
    apply(&mut newest, &Command::Offer(other.clone()));
    assert_eq!(apply(&mut newest, &change), Outcome::Missed(Number(5)));
    assert_eq!(newest.document(), &other);
}

#[test]
fn changes_lead_from_each_recent_document_to_the_newest_document() {
    let mut newest = newest_with(100);
    for number in 101..=120 {
        let command = newest.offer(Number(number), &text(number));
        assert_eq!(apply(&mut newest, &command), Outcome::Held(Number(number)));
    }
    for number in 112..120 {
        let mut outdated = newest_with(number);
        for change in newest.changes_from(Number(number)).unwrap() {
            assert!(matches!(outdated.amend(change), Outcome::Held(_)));
        }
        assert_eq!(outdated.document(), newest.document());
    }
    for number in [0, 100, 111, 120] {
        assert!(newest.changes_from(Number(number)).is_none(), "{number}");
    }
    assert!(newest.adopt(Document::pack(Number(130), &text(130))));
    assert!(newest.changes_from(Number(119)).is_none());
}

#[test]
fn corrupt_changes_and_documents_never_yield_another_document() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let base = Document::pack(Number(5), &text(5));
    let change = Change::between(&base, Number(150), &text(150)).unwrap();
    let (document_bytes, change_bytes) =
        (postcard::to_allocvec(&base).unwrap(), postcard::to_allocvec(&change).unwrap());
    for _ in 0..500 {
        let mut bytes = change_bytes.clone();
        let position = random.random_range(0..bytes.len());
        bytes[position] ^= 1 << random.random_range(0..8);
        bytes.truncate(random.random_range(bytes.len() / 2..=bytes.len()));
        if let Ok(change) = postcard::from_bytes::<Change>(&bytes)
            && let Some(document) = change.apply(&base)
        {
            assert_eq!(document.text().unwrap(), text(150));
        }
        let mut bytes = document_bytes.clone();
        bytes[random.random_range(0..document_bytes.len())] ^= 1 << random.random_range(0..8);
        if let Ok(document) = postcard::from_bytes::<Document>(&bytes) {
            let size = document.text().map_or(0, |text| text.len());
            assert!(size <= 16 << 20, "{size} bytes");
        }
    }
}

#[test]
fn documents_that_earlier_versions_compressed_are_read() {
    let compressed = lz4_flex::compress_prepend_size(&text(3));
    let bytes = postcard::to_allocvec(&(Number(3), compressed)).unwrap();
    let document: Document = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(document.text().unwrap(), text(3));
    let change = Change::between(&document, Number(4), &text(4)).unwrap();
    assert_eq!(change.apply(&document).unwrap().text().unwrap(), text(4));
}
