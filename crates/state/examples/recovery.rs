//! Measures a voter on a real data folder: writes, compaction, startup, and the catch-up of a
//! member without any entries. Prints one table row for each number of changes (commands).

use std::process::ExitCode;
use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use state::{
    Action, Core, CoreConfig, DataFolder, Entry, Envelope, Error, FlowLimits, Index, Input,
    Journal, Members, Payload, Position, ProposalId, Recovered, Snapshot, Term, Timing, VoterId,
    Write,
};

const COMMAND_BYTES: usize = 256;
const ENTRIES_PER_WRITE: u64 = 64;
const FIRST: VoterId = VoterId(1);
const SECOND: VoterId = VoterId(2);

/// Errors that end a measurement.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    #[error(transparent)]
    Folder(#[from] Error),
    #[error(transparent)]
    Temporary(#[from] std::io::Error),
    #[error(transparent)]
    Name(#[from] names::Error),
}

struct Measurement {
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

fn command_entry(instance: &Instance, number: u64) -> Entry {
    let origin =
        ProposalId { instance: instance.clone(), incarnation: Incarnation(1), sequence: number };
    let mut bytes = vec![0; COMMAND_BYTES];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Entry { term: Term(1), payload: Payload::Command { origin, bytes: bytes.into() } }
}

fn two_members() -> Result<(Members, Vec<Instance>), names::Error> {
    let instances: Vec<Instance> = vec!["instance-1".parse()?, "instance-2".parse()?];
    let voters = vec![(FIRST, instances[0].clone()), (SECOND, instances[1].clone())];
    Ok((Members::initial(voters), instances))
}

fn initial_snapshot(members: &Members) -> Snapshot {
    let position = Position { term: Term(1), index: Index(1) };
    Snapshot { position, members: members.clone(), ..Snapshot::default() }
}

fn folder_bytes(path: &std::path::Path) -> Result<u64, std::io::Error> {
    let mut bytes = 0;
    for entry in std::fs::read_dir(path)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

fn write(write_number: u64, snapshot: Option<Snapshot>, entries: Vec<state::Indexed>) -> Write {
    let snapshot = snapshot.map(std::sync::Arc::new);
    Write { write_number, ballot: None, snapshot, replaces_log: false, entries }
}

fn measure(changes: u64) -> Result<Measurement, MeasureError> {
    let (members, instances) = two_members()?;
    let temporary = tempfile::TempDir::new()?;
    let path = temporary.path().join("log");
    let (mut journal, ..) = Journal::open(DataFolder::open(&path)?, FIRST)?;
    journal.write(&[write(1, Some(initial_snapshot(&members)), Vec::new())])?;
    let started = Instant::now();
    for first in (2..changes + 2).step_by(ENTRIES_PER_WRITE as usize) {
        let last = (first + ENTRIES_PER_WRITE).min(changes + 2);
        let entries = (first..last)
            .map(|index| state::Indexed {
                index: Index(index),
                entry: command_entry(&instances[0], index),
            })
            .collect();
        journal.write(&[write(first, None, entries)])?;
    }
    let write_time = started.elapsed();
    let log_bytes = folder_bytes(&path)?;
    drop(journal);
    let (mut journal, start_log, recovered) = open(&path)?;
    let snapshot = snapshot_of(&recovered);
    let catch_up_log = catch_up(&members, &instances, recovered)?;
    let started = Instant::now();
    journal.write(&[write(1, Some(snapshot), Vec::new())])?;
    let compact = started.elapsed();
    let snapshot_bytes = folder_bytes(&path)?;
    drop(journal);
    let (_, start_snapshot, recovered) = open(&path)?;
    let catch_up_snapshot = catch_up(&members, &instances, recovered)?;
    Ok(Measurement {
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

type OpenedJournal = (Journal<DataFolder>, Duration, Recovered);

fn open(path: &std::path::Path) -> Result<OpenedJournal, MeasureError> {
    let started = Instant::now();
    let (journal, _, recovered) = Journal::open(DataFolder::open(path)?, FIRST)?;
    Ok((journal, started.elapsed(), recovered))
}

/// Returns the snapshot of a state machine that stores all command bytes.
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

/// Two cores that exchange messages without delay. The second one starts with the initial snapshot.
struct CorePair {
    cores: [Core; 2],
    journals: [Journal<DataFolder>; 2],
    queue: Vec<(usize, Envelope)>,
    bytes: usize,
}

fn catch_up(
    members: &Members,
    instances: &[Instance],
    recovered: Recovered,
) -> Result<(Duration, usize), MeasureError> {
    let temporary = tempfile::TempDir::new()?;
    let now = Instant::now();
    let lagging = Recovered { snapshot: initial_snapshot(members), ..Recovered::default() };
    let core = |me, index: usize, recovered| {
        let start = CoreConfig {
            me,
            instance: instances[index].clone(),
            initial_voters: instances.to_vec(),
            may_bootstrap: true,
            timing: Timing::default(),
            flow: FlowLimits::default(),
            seed: 1,
        };
        Core::new(now, start, recovered)
    };
    let journal = |name: &str, voter| {
        let folder = DataFolder::open(&temporary.path().join(name))?;
        Ok::<_, Error>(Journal::open(folder, voter)?.0)
    };
    let target = Index(recovered.snapshot.position.index.0 + recovered.entries.len() as u64);
    let mut pair = CorePair {
        cores: [core(FIRST, 0, recovered), core(SECOND, 1, lagging)],
        journals: [journal("one", FIRST)?, journal("two", SECOND)?],
        queue: Vec::new(),
        bytes: 0,
    };
    // The lagging member cannot be elected, but the other one can.
    let later = now + Timing::default().election_timeout * 3;
    pair.step(later, 0, Input::Tick)?;
    let started = Instant::now();
    while pair.cores[1].commit() <= target && !pair.queue.is_empty() {
        let (to, envelope) = pair.queue.remove(0);
        pair.step(later, to, Input::Receive(envelope))?;
    }
    Ok((started.elapsed(), pair.bytes))
}

impl CorePair {
    fn step(&mut self, now: Instant, index: usize, input: Input) -> Result<(), MeasureError> {
        for action in self.cores[index].step(now, input) {
            match action {
                Action::Send { envelope, .. } => {
                    self.bytes += postcard::to_allocvec(&envelope).map_or(0, |bytes| bytes.len());
                    self.queue.push((1 - index, envelope));
                }
                Action::Persist(write) => {
                    let write_number = write.write_number;
                    self.journals[index].write(&[write])?;
                    self.step(now, index, Input::Synced { write_number })?;
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn print_row(measurement: &Measurement) {
    let millis = |time: Duration| time.as_secs_f64() * 1000.0;
    println!(
        "| {} | {:.1} | {} | {:.1} | {:.1} | {} | {:.1} | {:.1} | {} | {:.1} | {} |",
        measurement.changes,
        millis(measurement.write),
        measurement.log_bytes,
        millis(measurement.start_log),
        millis(measurement.compact),
        measurement.snapshot_bytes,
        millis(measurement.start_snapshot),
        millis(measurement.catch_up_log.0),
        measurement.catch_up_log.1,
        millis(measurement.catch_up_snapshot.0),
        measurement.catch_up_snapshot.1,
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
            Ok(measurement) => print_row(&measurement),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
