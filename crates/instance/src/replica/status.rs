//! Response of `GET /state`.

use std::time::Instant;

use names::Instance;
use serde::Serialize;
use state::Core;

/// A member that receives the log.
#[derive(Serialize)]
struct Member {
    instance: Instance,
    voter: String,
    standing: String,
}

/// State of the replicated log at this instance.
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
    /// Returns the status of a voter or learner.
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

    /// Returns the status of an instance without a log.
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
