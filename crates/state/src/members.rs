//! Who votes on the log and who only receives it.

use names::Instance;
use serde::{Deserialize, Serialize};

use crate::Voter;

/// Whether a member's vote counts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It receives the log and counts in no quorum.
    Learner,
    /// It counts in every quorum.
    Voting,
}

/// One receiver of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its data folder.
    pub voter: Voter,
    /// The instance that runs on this folder.
    pub instance: Instance,
    /// Whether its vote counts.
    pub standing: Standing,
}

/// All receivers of the log, in the order in which they joined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    list: Vec<Member>,
}

/// One change of the members; it changes at most one voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a learner in place of any other learner of the same instance.
    Add(Voter, Instance),
    /// Lets the learner's vote count.
    Promote(Voter),
    /// Removes a member.
    Remove(Voter),
}

impl Members {
    /// No members, as in a blank folder.
    pub const fn empty() -> Self {
        Self { list: Vec::new() }
    }

    /// A first group whose members all vote.
    pub fn initial(mut voters: Vec<(Voter, Instance)>) -> Self {
        voters.sort_by(|left, right| left.1.cmp(&right.1));
        let list = voters
            .into_iter()
            .map(|(voter, instance)| Member { voter, instance, standing: Standing::Voting })
            .collect();
        Self { list }
    }

    /// All members, oldest first.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// The member that is `voter`.
    pub fn find(&self, voter: Voter) -> Option<&Member> {
        self.list.iter().find(|member| member.voter == voter)
    }

    /// Whether the vote of `voter` counts.
    pub fn is_voting(&self, voter: Voter) -> bool {
        self.find(voter).is_some_and(|member| member.standing == Standing::Voting)
    }

    /// The members whose votes count.
    pub fn voting(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|member| member.standing == Standing::Voting)
    }

    /// How many votes make a quorum.
    pub fn quorum(&self) -> usize {
        self.voting().count() / 2 + 1
    }

    /// Whether the votes of `granted` make a quorum.
    pub fn is_quorum(&self, granted: &[Voter]) -> bool {
        let votes = self.voting().filter(|member| granted.contains(&member.voter)).count();
        votes >= self.quorum()
    }

    /// The members after `change`.
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
