//! Single rules of the core whose violation would go unnoticed in simulations of whole groups.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use names::{Incarnation, Instance};
use state::{
    Action, Ballot, Core, CoreConfig, Entry, Envelope, FlowLimits, Index, Input, MAX_COMMAND_BYTES,
    Members, Message, Payload, Position, ProposalId, Recovered, Role, Snapshot, Term, Timing,
    VoterId,
};

const VOTERS: [VoterId; 3] = [VoterId(1), VoterId(2), VoterId(3)];

fn instance(voter: VoterId) -> Instance {
    format!("instance-{}", voter.0).parse().unwrap()
}

fn position(index: u64, term: u64) -> Position {
    Position { index: Index(index), term: Term(term) }
}

/// Returns the recovered state of a voter in `term`, with one entry for each of `terms` after the
/// bootstrap.
fn recovered(term: u64, terms: &[u64]) -> Recovered {
    let voters = VOTERS.map(|voter| (voter, instance(voter)));
    let members = Members::initial(voters.to_vec());
    let entry = |term: &u64| Entry { term: Term(*term), payload: Payload::Empty };
    Recovered {
        ballot: Ballot { term: Term(term), vote: None },
        snapshot: Snapshot { position: position(1, 1), members, ..Snapshot::default() },
        entries: terms.iter().map(entry).collect(),
    }
}

fn start(now: Instant, recovered: Recovered) -> Core {
    let start = CoreConfig {
        me: VOTERS[0],
        instance: instance(VOTERS[0]),
        initial_voters: VOTERS.map(instance).to_vec(),
        may_bootstrap: true,
        timing: Timing::default(),
        flow: FlowLimits::default(),
        seed: 1,
    };
    Core::new(now, start, recovered)
}

fn message_from(voter: VoterId, term: u64, message: Message) -> Input {
    let (to, term) = (Some(VOTERS[0]), Term(term));
    Input::Receive(Envelope { from: voter, instance: instance(voter), to, term, message })
}

/// Processes an input and syncs all writes immediately.
fn step_and_sync(core: &mut Core, now: Instant, input: Input) -> Vec<Action> {
    let mut all = core.step(now, input);
    let written = |action: &Action| match action {
        Action::Persist(write) => Some(write.write_number),
        _ => None,
    };
    while let Some(write_number) = all.iter().rev().find_map(written) {
        all.retain(|action| !matches!(action, Action::Persist(_)));
        all.extend(core.step(now, Input::Synced { write_number }));
    }
    all
}

fn messages(actions: &[Action]) -> Vec<&Message> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { envelope, .. } => Some(&envelope.message),
        _ => None,
    });
    sent.collect()
}

fn has_vote_response(actions: &[Action], expected: bool) -> bool {
    messages(actions).contains(&&Message::Voted { is_granted: expected })
}

/// Returns a leader of term 5 whose log has entries of `terms` and the leader's first entry.
fn leader(now: Instant, terms: &[u64]) -> (Core, Instant) {
    let mut core = start(now, recovered(4, terms));
    let now = now + Timing::default().election_timeout * 2;
    step_and_sync(&mut core, now, Input::Tick);
    let next_term = Term(5);
    let granted = Message::PreVoted { next_term, is_granted: true };
    step_and_sync(&mut core, now, message_from(VOTERS[1], 4, granted));
    step_and_sync(&mut core, now, message_from(VOTERS[1], 5, Message::Voted { is_granted: true }));
    assert_eq!(core.role(), Role::Leader);
    (core, now)
}

#[test]
fn restarted_voter_withholds_its_vote_for_one_election_timeout() {
    let now = Instant::now();
    let mut core = start(now, recovered(4, &[2]));
    let vote = || {
        message_from(
            VOTERS[1],
            5,
            Message::Vote { is_leadership_transfer: false, last: position(2, 2) },
        )
    };
    let early = now + Duration::from_millis(900);
    assert!(messages(&step_and_sync(&mut core, early, vote())).is_empty());
    assert_eq!(core.term(), Term(4));
    let late = now + Duration::from_millis(1001);
    assert!(has_vote_response(&step_and_sync(&mut core, late, vote()), true));
}

#[test]
fn vote_is_granted_once_per_term_and_only_to_an_up_to_date_log() {
    let now = Instant::now();
    let mut core = start(now, recovered(4, &[2, 4]));
    let mut now = now + Duration::from_millis(1001);
    for last in [position(9, 3), position(2, 4)] {
        let vote =
            message_from(VOTERS[1], 5, Message::Vote { is_leadership_transfer: false, last });
        assert!(has_vote_response(&step_and_sync(&mut core, now, vote), false));
    }
    let last = position(3, 4);
    assert!(has_vote_response(
        &step_and_sync(
            &mut core,
            now,
            message_from(VOTERS[1], 5, Message::Vote { is_leadership_transfer: false, last })
        ),
        true
    ));
    now += Duration::from_millis(1001);
    assert!(has_vote_response(
        &step_and_sync(
            &mut core,
            now,
            message_from(VOTERS[2], 5, Message::Vote { is_leadership_transfer: false, last })
        ),
        false
    ));
}

#[test]
fn vote_is_sent_only_after_it_is_synced() {
    let now = Instant::now();
    let mut core = start(now, recovered(4, &[2]));
    let now = now + Duration::from_millis(1001);
    let vote = message_from(
        VOTERS[1],
        5,
        Message::Vote { is_leadership_transfer: false, last: position(2, 2) },
    );
    let actions = core.step(now, vote);
    assert!(messages(&actions).is_empty());
    assert!(has_vote_response(&core.step(now, Input::Synced { write_number: 1 }), true));
}

#[test]
fn uninitialized_folder_grants_no_vote() {
    let now = Instant::now();
    let mut core = start(now, Recovered::default());
    let now = now + Duration::from_secs(10);
    let last = position(9, 9);
    let next_term = Term(9);
    assert!(!has_vote_response(
        &step_and_sync(
            &mut core,
            now,
            message_from(VOTERS[1], 9, Message::Vote { is_leadership_transfer: false, last })
        ),
        true
    ));
    let actions = step_and_sync(
        &mut core,
        now,
        message_from(VOTERS[1], 8, Message::PreVote { next_term, last }),
    );
    assert!(messages(&actions).contains(&&Message::PreVoted { next_term, is_granted: false }));
}

#[test]
fn entries_of_earlier_terms_commit_only_with_an_entry_of_the_current_term() {
    let (mut core, now) = leader(Instant::now(), &[2, 2]);
    let appended = |last| {
        let (verified, synced) = (Index(last), Index(last));
        message_from(VOTERS[1], 5, Message::Appended { verified, synced, sent: 0 })
    };
    step_and_sync(&mut core, now, appended(3));
    assert_eq!(core.commit(), Index(1));
    step_and_sync(&mut core, now, appended(4));
    assert_eq!(core.commit(), Index(4));
}

#[test]
fn leader_steps_down_after_a_pause_longer_than_its_lease() {
    let (mut core, now) = leader(Instant::now(), &[2]);
    assert!(core.is_leading(now));
    let proposal = |sequence| {
        let origin =
            ProposalId { instance: instance(VOTERS[1]), incarnation: Incarnation(1), sequence };
        Input::Propose { origin, bytes: vec![1].into() }
    };
    step_and_sync(&mut core, now, proposal(1));
    let resumed = now + Duration::from_secs(30);
    assert!(!core.is_leading(resumed));
    let appended = Message::Appended { verified: Index(4), synced: Index(4), sent: 2_000_000 };
    let actions = step_and_sync(&mut core, resumed, message_from(VOTERS[1], 5, appended));
    let has_applied = actions.iter().any(|action| matches!(action, Action::Apply { .. }));
    assert!(!has_applied && core.role() != Role::Leader);
    let actions = step_and_sync(&mut core, resumed, proposal(2));
    assert!(actions.iter().any(|action| matches!(action, Action::Refuse { .. })));
}

#[test]
fn oversized_command_is_refused() {
    let (mut core, now) = leader(Instant::now(), &[2]);
    for (length, is_refused) in [(MAX_COMMAND_BYTES, false), (MAX_COMMAND_BYTES + 1, true)] {
        let origin =
            ProposalId { instance: instance(VOTERS[1]), incarnation: Incarnation(1), sequence: 1 };
        let proposal = Input::Propose { origin, bytes: vec![0; length].into() };
        let actions = step_and_sync(&mut core, now, proposal);
        let refused = actions.iter().any(|action| matches!(action, Action::Refuse { .. }));
        assert_eq!(refused, is_refused, "{length} bytes");
    }
}

#[test]
fn quorum_responses_extend_the_lease_from_the_send_time() {
    let (mut core, now) = leader(Instant::now(), &[2]);
    let first = core.lease_until().unwrap();
    let later = now + Duration::from_millis(300);
    let actions = step_and_sync(&mut core, later, Input::Tick);
    let sent = messages(&actions)
        .iter()
        .find_map(|message| match message {
            Message::Append { sent, .. } => Some(*sent),
            _ => None,
        })
        .unwrap();
    let answered = later + Duration::from_millis(200);
    let appended = Message::Appended { verified: Index(3), synced: Index(3), sent };
    step_and_sync(&mut core, answered, message_from(VOTERS[2], 5, appended));
    let until = core.lease_until().unwrap();
    assert!(until > first && until <= later + Timing::default().lease_duration);
}

#[test]
fn repeated_proposal_is_appended_once_while_uncommitted() {
    let (mut core, now) = leader(Instant::now(), &[2]);
    let proposal = |sequence| {
        let origin =
            ProposalId { instance: instance(VOTERS[1]), incarnation: Incarnation(1), sequence };
        Input::Propose { origin, bytes: vec![1].into() }
    };
    step_and_sync(&mut core, now, proposal(1));
    let last = core.last();
    step_and_sync(&mut core, now, proposal(1));
    assert_eq!(core.last(), last);
    step_and_sync(&mut core, now, proposal(2));
    assert!(core.last() > last);
}

#[test]
fn removed_voter_stops_campaigning_despite_uncommitted_members_in_its_log() {
    let now = Instant::now();
    let mut recovered = recovered(4, &[2, 2]);
    let members = recovered.snapshot.members.clone();
    recovered.entries.push(Entry { term: Term(2), payload: Payload::Members(members) });
    let mut core = start(now, recovered);
    let removed = |committed| message_from(VOTERS[1], 5, Message::Removed { committed });
    step_and_sync(&mut core, now, removed(Index(3)));
    assert!(core.is_member(), "its own members may be committed");
    step_and_sync(&mut core, now, removed(Index(20)));
    assert!(!core.is_member());
}
