//! What `/state` shows.

use std::time::Instant;

use names::Instance;
use serde::Serialize;
use state::Core;

/// One receiver of the log.
#[derive(Serialize)]
struct Member {
    instance: Instance,
    voter: String,
    standing: String,
}

/// The replicated log as this instance sees it.
#[derive(Serialize)]
pub(super) struct Status {
    instance: Instance,
    role: String,
    leader: Option<Instance>,
    term: u64,
    commit: u64,
    last: u64,
    synced: u64,
    snapshot: u64,
    log_bytes: usize,
    snapshot_bytes: usize,
    voter: Option<String>,
    members: Vec<Member>,
}

impl Status {
    /// The status of a voter or learner.
    pub(super) fn of_core(now: Instant, instance: Instance, core: &Core) -> Self {
        let members = core.members().list().iter();
        let members = members.map(|member| Member {
            instance: member.instance.clone(),
            voter: member.voter.to_string(),
            standing: member.standing.to_string(),
        });
        Self {
            instance,
            role: core.role().to_string(),
            leader: core.leader_instance(now).cloned(),
            term: core.term().0,
            commit: core.commit().0,
            last: core.last().index.0,
            synced: core.durable().0,
            snapshot: core.snapshot().position.index.0,
            log_bytes: core.log_bytes(),
            snapshot_bytes: core.snapshot().data.len(),
            voter: Some(core.voter().to_string()),
            members: members.collect(),
        }
    }

    /// The status of an instance that keeps no log.
    pub(super) fn without_log(instance: Instance, role: &str, leader: Option<Instance>) -> Self {
        Self {
            instance,
            role: role.to_string(),
            leader,
            term: 0,
            commit: 0,
            last: 0,
            synced: 0,
            snapshot: 0,
            log_bytes: 0,
            snapshot_bytes: 0,
            voter: None,
            members: Vec::new(),
        }
    }
}
