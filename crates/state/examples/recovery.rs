//! Measures a voter on a real folder: writes, compaction, start-up, and the catch-up of a
//! member that missed everything. Prints one line for each number of changes.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use state::{
    Action, Core, DataFolder, Entry, Envelope, Error, Flow, Index, Input, Journal, Members, Origin,
    Payload, Position, Recovered, Snapshot, Start, Term, Timing, Voter, Write,
};

const CHANGE_BYTES: usize = 256;
const GROUP: u64 = 64;
const ONE: Voter = Voter(1);
const TWO: Voter = Voter(2);

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Folder(#[from] Error),
    #[error(transparent)]
    Temporary(#[from] std::io::Error),
    #[error(transparent)]
    Name(#[from] names::Error),
}

struct Line {
    changes: u64,
    write: Duration,
    log_bytes: u64,
    start_log: Duration,
    compact: Duration,
    snapshot_bytes: u64,
    start_snapshot: Duration,
    catch_up_log: (Duration, usize),
    catch_up_snapshot: (Duration, usize),
}

fn change(instance: &Instance, number: u64) -> Entry {
    let origin =
        Origin { instance: instance.clone(), incarnation: Incarnation(1), sequence: number };
    let mut bytes = vec![0; CHANGE_BYTES];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Entry { term: Term(1), payload: Payload::Command { origin, bytes: bytes.into() } }
}

fn group() -> Result<(Members, Vec<Instance>), names::Error> {
    let instances: Vec<Instance> = vec!["instance-1".parse()?, "instance-2".parse()?];
    let founders = vec![(ONE, instances[0].clone()), (TWO, instances[1].clone())];
    Ok((Members::initial(founders), instances))
}

fn founded(members: &Members) -> Snapshot {
    let position = Position { term: Term(1), index: Index(1) };
    Snapshot { position, members: members.clone(), ..Snapshot::default() }
}

fn bytes_in(path: &std::path::Path) -> Result<u64, std::io::Error> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(path)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

fn write(ticket: u64, snapshot: Option<Snapshot>, entries: Vec<state::Indexed>) -> Write {
    let snapshot = snapshot.map(std::sync::Arc::new);
    Write { ticket, ballot: None, snapshot, replaces_log: false, entries }
}

fn measure(changes: u64) -> Result<Line, Failure> {
    let (members, instances) = group()?;
    let temporary = tempfile::TempDir::new()?;
    let path = temporary.path().join("log");
    let (mut journal, ..) = Journal::open(DataFolder::open(&path)?, ONE)?;
    journal.write(&[write(1, Some(founded(&members)), Vec::new())])?;
    let started = Instant::now();
    for first in (2..changes + 2).step_by(GROUP as usize) {
        let last = (first + GROUP).min(changes + 2);
        let entries = (first..last)
            .map(|index| state::Indexed {
                index: Index(index),
                entry: change(&instances[0], index),
            })
            .collect();
        journal.write(&[write(first, None, entries)])?;
    }
    let write_time = started.elapsed();
    let log_bytes = bytes_in(&path)?;
    drop(journal);
    let (mut journal, start_log, recovered) = open(&path)?;
    let snapshot = snapshot_of(&recovered);
    let catch_up_log = catch_up(&members, &instances, recovered)?;
    let started = Instant::now();
    journal.write(&[write(1, Some(snapshot), Vec::new())])?;
    let compact = started.elapsed();
    let snapshot_bytes = bytes_in(&path)?;
    drop(journal);
    let (_, start_snapshot, recovered) = open(&path)?;
    let catch_up_snapshot = catch_up(&members, &instances, recovered)?;
    Ok(Line {
        changes,
        write: write_time,
        log_bytes,
        start_log,
        compact,
        snapshot_bytes,
        start_snapshot,
        catch_up_log,
        catch_up_snapshot,
    })
}

type Opened = (Journal<DataFolder>, Duration, Recovered);

fn open(path: &std::path::Path) -> Result<Opened, Failure> {
    let started = Instant::now();
    let (journal, _, recovered) = Journal::open(DataFolder::open(path)?, ONE)?;
    Ok((journal, started.elapsed(), recovered))
}

/// A machine that keeps the last byte string of every change.
fn snapshot_of(recovered: &Recovered) -> Snapshot {
    let mut data = Vec::new();
    for entry in &recovered.entries {
        if let Payload::Command { bytes, .. } = &entry.payload {
            data.extend_from_slice(bytes);
        }
    }
    let index = Index(recovered.snapshot.position.index.0 + recovered.entries.len() as u64);
    let position = Position { term: Term(1), index };
    Snapshot { position, members: recovered.snapshot.members.clone(), data: data.into() }
}

/// Two cores that exchange messages at once, one of which has nothing but the founding state.
struct Pair {
    cores: [Core; 2],
    journals: [Journal<DataFolder>; 2],
    waiting: Vec<(usize, Envelope)>,
    bytes: usize,
}

fn catch_up(
    members: &Members,
    instances: &[Instance],
    recovered: Recovered,
) -> Result<(Duration, usize), Failure> {
    let temporary = tempfile::TempDir::new()?;
    let now = Instant::now();
    let behind = Recovered { snapshot: founded(members), ..Recovered::default() };
    let core = |me, index: usize, recovered| {
        let start = Start {
            me,
            instance: instances[index].clone(),
            founders: instances.to_vec(),
            may_found: true,
            timing: Timing::default(),
            flow: Flow::default(),
            seed: 1,
        };
        Core::new(now, start, recovered)
    };
    let journal = |name: &str, voter| {
        let folder = DataFolder::open(&temporary.path().join(name))?;
        Ok::<_, Error>(Journal::open(folder, voter)?.0)
    };
    let target = Index(recovered.snapshot.position.index.0 + recovered.entries.len() as u64);
    let mut pair = Pair {
        cores: [core(ONE, 0, recovered), core(TWO, 1, behind)],
        journals: [journal("one", ONE)?, journal("two", TWO)?],
        waiting: Vec::new(),
        bytes: 0,
    };
    // The member that is behind cannot be elected, the other one can.
    let later = now + Timing::default().election_timeout * 3;
    pair.step(later, 0, Input::Tick)?;
    let started = Instant::now();
    while pair.cores[1].commit() <= target && !pair.waiting.is_empty() {
        let (to, envelope) = pair.waiting.remove(0);
        pair.step(later, to, Input::Receive(envelope))?;
    }
    Ok((started.elapsed(), pair.bytes))
}

impl Pair {
    fn step(&mut self, now: Instant, index: usize, input: Input) -> Result<(), Failure> {
        for action in self.cores[index].step(now, input) {
            match action {
                Action::Send { envelope, .. } => {
                    self.bytes += postcard::to_allocvec(&envelope).map_or(0, |bytes| bytes.len());
                    self.waiting.push((1 - index, envelope));
                }
                Action::Persist(write) => {
                    let ticket = write.ticket;
                    self.journals[index].write(&[write])?;
                    self.step(now, index, Input::Synced { ticket })?;
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn print(line: &Line) {
    let millis = |time: Duration| time.as_secs_f64() * 1000.0;
    println!(
        "| {} | {:.1} | {} | {:.1} | {:.1} | {} | {:.1} | {:.1} | {} | {:.1} | {} |",
        line.changes,
        millis(line.write),
        line.log_bytes,
        millis(line.start_log),
        millis(line.compact),
        line.snapshot_bytes,
        millis(line.start_snapshot),
        millis(line.catch_up_log.0),
        line.catch_up_log.1,
        millis(line.catch_up_snapshot.0),
        line.catch_up_snapshot.1,
    );
}

fn main() -> ExitCode {
    println!(
        "| changes | write, ms | log, bytes | start from log, ms | compaction, ms | \
         folder after it, bytes | start from snapshot, ms | catch-up by log, ms | bytes sent | \
         catch-up by snapshot, ms | bytes sent |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for changes in [500, 5_000, 50_000] {
        match measure(changes) {
            Ok(line) => print(&line),
            Err(failure) => {
                eprintln!("{failure}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
