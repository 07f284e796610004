//! Data folder: crashes at every operation, torn writes, flipped bits, and missing files.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use common::MemoryFolder;
use state::{
    Ballot, DataFolder, Entry, Error, Folder, Index, Indexed, Journal, Payload, Position,
    Recovered, Snapshot, Storage, StorageEvent, Term, VoterId, Write,
};
use test_case::test_case;

const ME: VoterId = VoterId(7);

fn position(index: u64, term: u64) -> Position {
    Position { index: Index(index), term: Term(term) }
}

fn entries(first: u64, last: u64, term: u64) -> Vec<Indexed> {
    let entry = Entry { term: Term(term), payload: Payload::Empty };
    (first..=last).map(|index| Indexed { index: Index(index), entry: entry.clone() }).collect()
}

fn snapshot(index: u64, term: u64) -> Option<Arc<Snapshot>> {
    let data = vec![index as u8; 700].into();
    Some(Arc::new(Snapshot { position: position(index, term), data, ..Snapshot::default() }))
}

fn ballot(term: u64) -> Option<Ballot> {
    Some(Ballot { term: Term(term), vote: Some(ME) })
}

fn write(ballot: Option<Ballot>, snapshot: Option<Arc<Snapshot>>, entries: Vec<Indexed>) -> Write {
    Write { write_number: 0, ballot, snapshot, replaces_log: false, entries }
}

/// Assigns numbers to the writes, starting at 1.
fn numbered(mut writes: Vec<Write>) -> Vec<Write> {
    writes.iter_mut().zip(1..).for_each(|(write, write_number)| write.write_number = write_number);
    writes
}

/// Returns the writes of a voter: bootstrap, entries, a conflict, a snapshot with entries after it,
/// and an installed snapshot.
fn voter_writes() -> Vec<Write> {
    let writes = vec![
        write(Some(Ballot { term: Term(1), vote: None }), snapshot(1, 1), Vec::new()),
        write(ballot(1), None, entries(2, 4, 1)),
        write(None, None, entries(5, 40, 1)),
        write(ballot(2), None, entries(38, 45, 2)),
        write(None, snapshot(30, 1), [entries(31, 37, 1), entries(38, 45, 2)].concat()),
        write(None, None, entries(46, 50, 2)),
        write(ballot(3), snapshot(90, 3), Vec::new()),
        write(None, None, entries(91, 93, 3)),
    ];
    numbered(writes)
}

/// Returns the writes of a learner that receives its first snapshot together with entries after it.
fn first_snapshot_writes() -> Vec<Write> {
    vec![Write {
        write_number: 1,
        ballot: Some(Ballot { term: Term(3), vote: None }),
        snapshot: snapshot(90, 3),
        replaces_log: true,
        entries: entries(91, 95, 3),
    }]
}

/// Returns the writes of a follower that receives a snapshot ahead of its log, together with
/// entries after it.
fn installed_snapshot_writes() -> Vec<Write> {
    let mut writes = vec![
        write(Some(Ballot { term: Term(1), vote: None }), snapshot(1, 1), Vec::new()),
        write(ballot(1), None, entries(2, 28, 1)),
        write(None, snapshot(90, 3), entries(91, 95, 3)),
        write(None, None, entries(96, 97, 3)),
    ];
    writes[2].replaces_log = true;
    numbered(writes)
}

/// Returns the state that must be recovered after all of `writes`.
fn expected_state(writes: &[Write]) -> (Ballot, Index, Vec<Term>) {
    let mut state = (Ballot::default(), Index::default(), Vec::new());
    for write in writes {
        state.0 = write.ballot.unwrap_or(state.0);
        if let Some(snapshot) = &write.snapshot {
            state.1 = snapshot.position.index;
            state.2.clear();
        }
        for indexed in &write.entries {
            state.2.truncate((indexed.index.0 - state.1.0 - 1) as usize);
            state.2.push(indexed.entry.term);
        }
    }
    state
}

fn recovered_state(recovered: &Recovered) -> (Ballot, Index, Vec<Term>) {
    let terms = recovered.entries.iter().map(|entry| entry.term).collect();
    (recovered.ballot, recovered.snapshot.position.index, terms)
}

fn folder_with(writes: &[Write]) -> MemoryFolder {
    let folder = MemoryFolder::default();
    let (mut journal, voter, _) = Journal::open(folder.clone(), ME).unwrap();
    assert_eq!(voter, ME);
    for write in writes {
        journal.write(std::slice::from_ref(write)).unwrap();
    }
    folder
}

#[test]
fn reopened_folder_returns_all_writes() {
    let writes = voter_writes();
    for count in 0..=writes.len() {
        let folder = folder_with(&writes[..count]);
        let (_, voter, recovered) = Journal::open(folder, VoterId(8)).unwrap();
        assert_eq!(voter, ME);
        assert_eq!(
            recovered_state(&recovered),
            expected_state(&writes[..count]),
            "after {count} writes"
        );
    }
}

#[test]
fn grouped_writes_equal_single_writes() {
    let writes = voter_writes();
    let folder = MemoryFolder::default();
    let (mut journal, _, _) = Journal::open(folder.clone(), ME).unwrap();
    assert_eq!(journal.write(&writes).unwrap(), Some(8));
    let (_, _, recovered) = Journal::open(folder, ME).unwrap();
    assert_eq!(recovered_state(&recovered), expected_state(&writes));
}

#[test_case(voter_writes(); "voter")]
#[test_case(first_snapshot_writes(); "first snapshot of a learner")]
#[test_case(installed_snapshot_writes(); "snapshot of a leader")]
fn crash_at_any_operation_loses_no_synced_write(writes: Vec<Write>) {
    let operations = folder_with(&writes).operations();
    for operation in 0..operations {
        for seed in 0..12 {
            crash_at(&writes, operation, seed);
        }
    }
}

/// Guards against a log that stays unusable after the disk has room again.
#[test_case(voter_writes(); "voter")]
#[test_case(first_snapshot_writes(); "first snapshot of a learner")]
#[test_case(installed_snapshot_writes(); "snapshot of a leader")]
fn a_disk_that_was_full_for_a_while_takes_writes_again_and_has_lost_none(writes: Vec<Write>) {
    for free_writes in 0.. {
        let folder = MemoryFolder::default();
        folder.fill_after(free_writes);
        let mut synced = 0;
        // The log is opened and written again and again while the disk is full.
        for _ in 0..4 {
            let Ok((mut journal, _, recovered)) = Journal::open(folder.clone(), ME) else {
                continue;
            };
            let next = &writes[..(synced + 1).min(writes.len())];
            check_recovered(&writes[..synced], next, &recovered);
            for write in &writes[synced..] {
                if journal.write(std::slice::from_ref(write)).is_err() {
                    break;
                }
                synced += 1;
            }
        }
        if !folder.make_room() {
            return;
        }
        let (mut journal, voter, recovered) = Journal::open(folder.clone(), VoterId(8))
            .unwrap_or_else(|error| panic!("{free_writes} free writes: {error}"));
        assert!(synced == 0 || voter == ME);
        check_recovered(&writes[..synced], &writes[..(synced + 1).min(writes.len())], &recovered);
        for write in &writes[synced..] {
            journal.write(std::slice::from_ref(write)).unwrap();
        }
        drop(journal);
        let (_, _, recovered) = Journal::open(folder, ME).unwrap();
        assert_eq!(recovered_state(&recovered), expected_state(&writes), "{free_writes}");
    }
}

/// Returns a group of writes in which a snapshot covers entries of the same group.
fn grouped_writes() -> Vec<Write> {
    vec![
        write(None, None, entries(29, 40, 1)),
        write(None, snapshot(38, 1), entries(39, 40, 1)),
        write(None, None, entries(41, 42, 1)),
    ]
}

#[test]
fn crash_within_a_group_of_writes_leaves_no_gap_in_the_log() {
    let before = &installed_snapshot_writes()[..2];
    let begin = folder_with(before).operations();
    for operation in begin.. {
        for seed in 0..12 {
            let folder = MemoryFolder::default();
            folder.fail_after(operation);
            let (mut journal, _, _) = Journal::open(folder.clone(), ME).unwrap();
            before.iter().for_each(|write| {
                journal.write(std::slice::from_ref(write)).unwrap();
            });
            if journal.write(&grouped_writes()).is_ok() {
                return;
            }
            folder.crash(seed);
            let opened = Journal::open(folder, ME);
            let (_, _, recovered) =
                opened.unwrap_or_else(|error| panic!("operation {operation}, {seed}: {error}"));
            let last = recovered.snapshot.position.index.0 + recovered.entries.len() as u64;
            assert!((28..=42).contains(&last), "operation {operation}, seed {seed}: {last}");
        }
    }
}

fn crash_at(writes: &[Write], operation: usize, seed: u64) {
    let folder = MemoryFolder::default();
    folder.fail_after(operation);
    let mut synced = 0;
    if let Ok((mut journal, _, _)) = Journal::open(folder.clone(), ME) {
        for write in writes {
            if journal.write(std::slice::from_ref(write)).is_err() {
                break;
            }
            synced += 1;
        }
    }
    assert!(folder.has_failed(), "operation {operation} was never reached");
    folder.crash(seed);
    let opened = Journal::open(folder, VoterId(8));
    let (mut journal, voter, recovered) =
        opened.unwrap_or_else(|error| panic!("operation {operation}, seed {seed}: {error}"));
    assert!(synced == 0 || voter == ME, "operation {operation}, seed {seed}");
    check_recovered(&writes[..synced], &writes[..(synced + 1).min(writes.len())], &recovered);
    // The recovered folder accepts further writes, and a second crash loses none of them.
    let next = recovered.snapshot.position.index.0 + recovered.entries.len() as u64 + 1;
    if recovered.snapshot.position.index > Index::default() {
        let more = entries(next, next + 1, 9);
        journal
            .write(&[Write {
                write_number: 1,
                ballot: ballot(9),
                snapshot: None,
                replaces_log: false,
                entries: more,
            }])
            .unwrap();
        let folder = journal.folder().fork();
        folder.crash(seed + 1);
        let (_, _, again) = Journal::open(folder, ME).unwrap();
        assert_eq!(again.entries.len(), recovered.entries.len() + 2);
        assert_eq!(again.ballot.term, Term(9));
    }
}

/// Checks that all synced writes are recovered, and possibly a part of the next write.
fn check_recovered(synced: &[Write], next: &[Write], recovered: &Recovered) {
    let (ballot, base, terms) = recovered_state(recovered);
    let before = expected_state(synced);
    let after = expected_state(next);
    assert!(ballot == before.0 || ballot == after.0, "{ballot:?}");
    assert!(base == before.1 || base == after.1, "{base}");
    let whole = if base == after.1 { &after } else { &before };
    let is_after = terms.iter().zip(&after.2).all(|(left, right)| left == right) && base == after.1;
    let is_before = terms.starts_with(&before.2) && base == before.1;
    assert!(is_after || is_before, "{terms:?} is neither {:?} nor {:?}", before.2, whole.2);
    if base == before.1 {
        let conflict = before.2.iter().zip(&after.2).position(|(left, right)| left != right);
        let least = conflict.unwrap_or(before.2.len()).min(before.2.len());
        assert!(terms.len() >= least, "{} entries are left of {least}", terms.len());
    }
}

fn newest_segment(folder: &MemoryFolder) -> String {
    let names = folder.names().unwrap();
    names.iter().rfind(|name| name.starts_with("log-")).unwrap().clone()
}

#[test]
fn flipped_bit_is_reported_with_its_file() {
    let folder = folder_with(&voter_writes()[..4]);
    for name in folder.names().unwrap() {
        let length = folder.read(&name).unwrap().len();
        for offset in 0..length {
            let changed = folder.fork();
            changed.change(&name, |bytes| bytes[offset] ^= 1 << (offset % 8));
            let opened = Journal::open(changed, ME);
            let is_named = matches!(&opened, Err(Error::Damaged { file, .. }) if *file == name);
            assert!(is_named, "byte {offset} of {name}: {:?}", opened.err());
        }
    }
}

#[test]
fn torn_tail_is_dropped() {
    let writes = voter_writes();
    let folder = folder_with(&writes[..4]);
    let whole = expected_state(&writes[..4]).2;
    let name = newest_segment(&folder);
    let length = folder.read(&name).unwrap().len();
    for cut in 1..length {
        let torn = folder.fork();
        torn.change(&name, |bytes| bytes.truncate(length - cut));
        let (_, _, recovered) = Journal::open(torn.clone(), ME).unwrap();
        assert!(recovered.entries.len() <= whole.len());
        // Reopening the folder again gives the same result.
        let (_, _, again) = Journal::open(torn, ME).unwrap();
        assert_eq!(recovered_state(&again), recovered_state(&recovered));
    }
}

#[test]
fn tail_of_zeros_is_dropped() {
    let folder = folder_with(&voter_writes()[..4]);
    let name = newest_segment(&folder);
    folder.change(&name, |bytes| bytes.extend([0; 4096]));
    let (_, _, recovered) = Journal::open(folder, ME).unwrap();
    assert_eq!(recovered_state(&recovered), expected_state(&voter_writes()[..4]));
}

#[test_case("identity")]
#[test_case("snapshot-00000000000000000001")]
fn missing_file_is_reported(name: &str) {
    let folder = folder_with(&voter_writes()[..4]);
    folder.erase(name);
    let opened = Journal::open(folder, ME);
    assert!(matches!(opened, Err(Error::Missing { .. })), "{:?}", opened.err());
}

#[test]
fn missing_segment_is_reported_as_a_gap() {
    let folder = folder_with(&voter_writes()[..3]);
    let (mut journal, _, _) = Journal::open(folder.clone(), ME).unwrap();
    let name = newest_segment(&folder);
    journal
        .write(&[Write {
            write_number: 1,
            ballot: None,
            snapshot: None,
            replaces_log: false,
            entries: entries(41, 42, 1),
        }])
        .unwrap();
    folder.erase(&name);
    let opened = Journal::open(folder, ME);
    let is_gap = matches!(&opened, Err(Error::Gap { index: Index(2), .. }));
    assert!(is_gap, "{:?}", opened.err());
}

#[test]
fn failed_write_and_failed_sync_are_reported() {
    for operation in 0..2 {
        let folder = folder_with(&voter_writes()[..3]);
        let (mut journal, _, _) = Journal::open(folder.clone(), ME).unwrap();
        folder.fail_after(operation);
        let write = Write {
            write_number: 1,
            ballot: None,
            snapshot: None,
            replaces_log: false,
            entries: entries(41, 42, 1),
        };
        let error = journal.write(&[write]).unwrap_err().to_string();
        let expected = ["write \"log-", "sync \"log-"][operation];
        assert!(error.contains(expected) && error.contains("no space left"), "{error}");
    }
}

#[test]
fn storage_thread_syncs_in_order_and_reports_a_failure_once() {
    let folder = MemoryFolder::default();
    let files = folder.clone();
    let (sender, reports) = channel();
    let report = move |report| sender.send(report).unwrap();
    let storage = Storage::start(move || Ok(files), ME, report).unwrap();
    let wait = || reports.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(matches!(wait(), StorageEvent::Opened { voter: ME, .. }));
    let writes = voter_writes();
    writes[..4].iter().for_each(|write| storage.write(write.clone()));
    let mut synced = 0;
    while synced < 4 {
        match wait() {
            StorageEvent::Synced { write_number } if write_number > synced => synced = write_number,
            other => panic!("{other:?}"),
        }
    }
    folder.fail_after(0);
    storage.write(writes[4].clone());
    assert!(matches!(wait(), StorageEvent::Failed(Error::File { .. })));
    storage.write(writes[5].clone());
    assert!(
        reports.recv_timeout(Duration::from_secs(20)).is_err(),
        "a report followed the failure"
    );
}

#[test]
fn locked_folder_and_unwritable_folder_are_reported() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("data");
    let held = DataFolder::open(&path).unwrap();
    assert!(matches!(DataFolder::open(&path), Err(Error::Locked { .. })));
    drop(held);
    let (mut journal, _, _) = Journal::open(DataFolder::open(&path).unwrap(), ME).unwrap();
    journal.write(&voter_writes()).unwrap();
    drop(journal);
    let (_, _, recovered) = Journal::open(DataFolder::open(&path).unwrap(), ME).unwrap();
    assert_eq!(recovered_state(&recovered), expected_state(&voter_writes()));
    let file = folder.path().join("file");
    std::fs::write(&file, "a file").unwrap();
    let error = DataFolder::open(&file.join("data")).err().unwrap().to_string();
    assert!(error.contains("help: check free space, permissions"), "{error}");
}
