//! Replication to followers that lag and do not respond.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use state::{
    Action, Ballot, Core, CoreConfig, Entry, Envelope, FlowLimits, Index, Input, Members, Message,
    Position, ProposalId, Recovered, Role, Snapshot, Term, Timing, VoterId,
};

const VOTERS: [VoterId; 3] = [VoterId(1), VoterId(2), VoterId(3)];

/// Follower that lags and does not respond.
const LAGGING: VoterId = VOTERS[1];

/// Follower whose responses keep the leader's lease valid.
const RESPONSIVE: VoterId = VOTERS[2];

const TERM: Term = Term(5);
const ENTRY_BYTES: usize = 50_000;
const ENTRIES: u64 = 3;
const SNAPSHOT_BYTES: usize = 300_000;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

fn instance(voter: VoterId) -> Instance {
    format!("instance-{}", voter.0).parse().unwrap()
}

fn message_from(voter: VoterId, term: u64, message: Message) -> Input {
    let (to, term) = (Some(VOTERS[0]), Term(term));
    Input::Receive(Envelope { from: voter, instance: instance(voter), to, term, message })
}

/// Processes an input and syncs all writes immediately. Returns the messages sent and their
/// recipients.
fn step_and_sync(core: &mut Core, now: Instant, input: Input) -> Vec<(VoterId, Message)> {
    let mut waiting = core.step(now, input);
    let mut sent = Vec::new();
    while !waiting.is_empty() {
        for action in std::mem::take(&mut waiting) {
            match action {
                Action::Persist(write) => {
                    waiting
                        .extend(core.step(now, Input::Synced { write_number: write.write_number }));
                }
                Action::Send { envelope: Envelope { to: Some(to), message, .. }, .. } => {
                    sent.push((to, message));
                }
                _ => {}
            }
        }
    }
    sent
}

/// Returns a leader with a snapshot at the first entry and large entries after it.
fn leader() -> (Core, Instant) {
    let members = Members::initial(VOTERS.map(|voter| (voter, instance(voter))).to_vec());
    let position = Position { index: Index(1), term: Term(1) };
    let data = vec![0; SNAPSHOT_BYTES].into();
    let recovered = Recovered {
        ballot: Ballot { term: Term(4), vote: None },
        snapshot: Snapshot { position, members, data },
        entries: Vec::new(),
    };
    let start = CoreConfig {
        me: VOTERS[0],
        instance: instance(VOTERS[0]),
        initial_voters: VOTERS.map(instance).to_vec(),
        may_bootstrap: true,
        timing: Timing::default(),
        flow: FlowLimits::default(),
        seed: 1,
    };
    let begin = Instant::now();
    let mut core = Core::new(begin, start, recovered);
    let now = begin + Timing::default().election_timeout * 2;
    step_and_sync(&mut core, now, Input::Tick);
    let granted = Message::PreVoted { next_term: TERM, is_granted: true };
    step_and_sync(&mut core, now, message_from(RESPONSIVE, 4, granted));
    step_and_sync(
        &mut core,
        now,
        message_from(RESPONSIVE, TERM.0, Message::Voted { is_granted: true }),
    );
    assert_eq!(core.role(), Role::Leader);
    for sequence in 1..=ENTRIES {
        let origin =
            ProposalId { instance: instance(VOTERS[0]), incarnation: Incarnation(1), sequence };
        let bytes = vec![0; ENTRY_BYTES].into();
        step_and_sync(&mut core, now, Input::Propose { origin, bytes });
    }
    (core, now)
}

/// Returns the bytes of entries and snapshots in messages to the lagging follower.
fn bytes_to_lagging(sent: &[(VoterId, Message)]) -> usize {
    let bytes = |message: &Message| match message {
        Message::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
        Message::Install { bytes, .. } => bytes.len(),
        _ => 0,
    };
    sent.iter().filter(|(to, _)| *to == LAGGING).map(|(_, message)| bytes(message)).sum()
}

/// Advances the time by two seconds, during which only the responsive follower responds. Returns
/// the messages sent.
fn run_two_seconds(core: &mut Core, now: &mut Instant) -> Vec<(VoterId, Message)> {
    let mut all = Vec::new();
    for _ in 0..8 {
        *now += HEARTBEAT_INTERVAL;
        let sent = step_and_sync(core, *now, Input::Tick);
        for (to, message) in &sent {
            if let (RESPONSIVE, Message::Append { previous, entries, sent, .. }) = (*to, message) {
                let last = Index(previous.index.0 + entries.len() as u64);
                let message = Message::Appended { verified: last, synced: last, sent: *sent };
                all.extend(step_and_sync(core, *now, message_from(RESPONSIVE, TERM.0, message)));
            }
        }
        all.extend(sent);
    }
    assert_eq!(core.role(), Role::Leader);
    all
}

/// Returns the latest send time among the messages to the lagging follower.
fn last_send_time(messages: &[(VoterId, Message)]) -> u64 {
    let sent = messages.iter().filter_map(|(to, message)| match message {
        Message::Append { sent, .. } if *to == LAGGING => Some(*sent),
        _ => None,
    });
    sent.max().unwrap()
}

#[test]
fn entries_are_sent_once_to_a_follower_that_does_not_respond() {
    let (mut core, mut now) = leader();
    let diverged = Message::Diverged { previous: Index(2), hint: Index(1), sent: 0 };
    let mut sent = step_and_sync(&mut core, now, message_from(LAGGING, TERM.0, diverged));
    sent.extend(run_two_seconds(&mut core, &mut now));
    assert!(bytes_to_lagging(&sent) <= ENTRIES as usize * (ENTRY_BYTES + 1000));
    let matches =
        Message::Appended { verified: Index(1), synced: Index(1), sent: last_send_time(&sent) };
    sent.extend(step_and_sync(&mut core, now, message_from(LAGGING, TERM.0, matches)));
    sent.extend(run_two_seconds(&mut core, &mut now));
    let bytes = bytes_to_lagging(&sent);
    assert!(bytes >= ENTRIES as usize * ENTRY_BYTES, "{bytes}");
    assert!(bytes <= ENTRIES as usize * (ENTRY_BYTES + 1000), "{bytes}");
}

#[test]
fn snapshot_part_is_resent_only_after_the_response_to_a_later_message() {
    let (mut core, mut now) = leader();
    let diverged = |sent| Message::Diverged { previous: Index(1), hint: Index(0), sent };
    let mut sent = step_and_sync(&mut core, now, message_from(LAGGING, TERM.0, diverged(0)));
    sent.extend(run_two_seconds(&mut core, &mut now));
    let part = FlowLimits::default().part_bytes;
    assert_eq!(bytes_to_lagging(&sent), part);
    let later = last_send_time(&sent);
    let again = step_and_sync(&mut core, now, message_from(LAGGING, TERM.0, diverged(later)));
    assert_eq!(bytes_to_lagging(&again), part, "the part was lost");
    assert_eq!(bytes_to_lagging(&run_two_seconds(&mut core, &mut now)), 0);
}
