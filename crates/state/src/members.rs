//! Members of the group: voters and learners.

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::VoterId;

/// Standing of a member in quorums.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// Receives the log but does not count in any quorum.
    Learner,
    /// Counts in every quorum.
    Voting,
}

/// A data folder that receives the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the data folder.
    pub voter: VoterId,
    /// Instance that runs on the data folder.
    pub instance: Instance,
    /// Whether the member counts in quorums.
    pub standing: Standing,
}

/// All members, in the order in which they were added.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    list: Vec<Member>,
}

/// A single change of the members. Each change affects at most one voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner and removes any other learner of the same instance.
    Add(VoterId, Instance),
    /// Turns a learner into a voter.
    Promote(VoterId),
    /// Removes a member.
    Remove(VoterId),
}

impl Members {
    /// Returns an empty list of members, as in an uninitialized folder.
    pub const fn empty() -> Self {
        Self { list: Vec::new() }
    }

    /// Returns the members of a new group, all of which are voters.
    pub fn initial(mut voters: Vec<(VoterId, Instance)>) -> Self {
        voters.sort_by(|left, right| left.1.cmp(&right.1));
        let list = voters
            .into_iter()
            .map(|(voter, instance)| Member { voter, instance, standing: Standing::Voting })
            .collect();
        Self { list }
    }

    /// Returns all members, oldest first.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Returns the member with the identifier `voter`.
    pub fn find(&self, voter: VoterId) -> Option<&Member> {
        self.list.iter().find(|member| member.voter == voter)
    }

    /// Returns whether `voter` is a member that counts in quorums.
    pub fn is_voting(&self, voter: VoterId) -> bool {
        self.find(voter).is_some_and(|member| member.standing == Standing::Voting)
    }

    /// Returns the members that count in quorums.
    pub fn voting(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|member| member.standing == Standing::Voting)
    }

    /// Returns the number of votes that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voting().count() / 2 + 1
    }

    /// Returns whether the votes of `granted` form a quorum.
    pub fn is_quorum(&self, granted: &[VoterId]) -> bool {
        let votes = self.voting().filter(|member| granted.contains(&member.voter)).count();
        votes >= self.quorum()
    }

    /// Returns the members after `change`.
    pub fn changed(&self, change: &MemberChange) -> Self {
        let mut list = self.list.clone();
        match change {
            MemberChange::Add(voter, instance) => {
                list.retain(|member| {
                    member.instance != *instance || member.standing == Standing::Voting
                });
                list.push(Member {
                    voter: *voter,
                    instance: instance.clone(),
                    standing: Standing::Learner,
                });
            }
            MemberChange::Promote(voter) => {
                for member in list.iter_mut().filter(|member| member.voter == *voter) {
                    member.standing = Standing::Voting;
                }
            }
            MemberChange::Remove(voter) => list.retain(|member| member.voter != *voter),
        }
        Self { list }
    }
}
