//! Invariants that are checked in a simulated cluster.

use state::{Core, Index, Role};

use super::cluster::{Cluster, Node};

impl Cluster {
    /// Checks that each term has at most one leader, that no voter has an uninitialized folder in
    /// place of a lost one, and that the leader has all applied entries of earlier terms.
    pub(super) fn check_leader(&mut self, index: usize) {
        let Some(core) = &self.nodes[index].core else {
            return;
        };
        if core.role() != Role::Leader {
            return;
        }
        let is_uninitialized = |node: &&Node| {
            let is_voting = node.voter.is_some_and(|voter| core.members().is_voting(voter));
            node.has_lost_folder && !node.has_log && is_voting
        };
        let uninitialized = self.nodes.iter().find(is_uninitialized).map(|node| &node.instance);
        assert_eq!(uninitialized, None, "seed {}: a folder without a log votes", self.seed);
        let leader = *self.leaders.entry(core.term()).or_insert(core.voter());
        assert_eq!(leader, core.voter(), "seed {}: two leaders of {}", self.seed, core.term());
        for (at, entry) in self.applied.range(Index(core.snapshot().position.index.0 + 1)..) {
            let term = core.term_at(*at);
            if entry.term < core.term() {
                assert_eq!(
                    term,
                    Some(entry.term),
                    "seed {}: the leader lacks entry {at}",
                    self.seed
                );
            }
        }
    }

    /// Checks that at most one leader lease is valid, including those of paused nodes.
    pub(super) fn check_leases(&self) {
        let leading = self
            .nodes
            .iter()
            .filter(|node| node.core.as_ref().is_some_and(|core| core.is_leading(self.now)));
        assert!(leading.count() <= 1, "seed {}: two leader leases are valid at once", self.seed);
    }

    /// Checks that two logs with a common entry are identical up to that entry.
    pub fn check_logs(&self) {
        let cores: Vec<&Core> = self.nodes.iter().filter_map(|node| node.core.as_ref()).collect();
        for (number, left) in cores.iter().enumerate() {
            for right in &cores[number + 1..] {
                self.check_pair(left, right);
            }
        }
    }

    fn check_pair(&self, left: &Core, right: &Core) {
        let last = left.last().index.min(right.last().index);
        let mut has_match = false;
        let mut index = last;
        while let (Some(left_entry), Some(right_entry)) = (left.entry(index), right.entry(index)) {
            has_match |= left_entry.term == right_entry.term;
            assert!(
                !has_match || left_entry == right_entry,
                "seed {}: logs differ at {index}",
                self.seed
            );
            index.0 -= 1;
        }
    }

    /// Returns whether every instance votes with its current data folder, according to committed
    /// members.
    pub fn is_repaired(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let node = &self.nodes[leader];
        let Some(core) = node.core.as_ref() else {
            return false;
        };
        let members = core.members();
        let votes =
            |node: &Node| node.has_log && node.voter.is_some_and(|voter| members.is_voting(voter));
        core.has_committed_members()
            && members.voting().count() == self.nodes.len()
            && members.list().len() == self.nodes.len()
            && self.nodes.iter().all(votes)
    }

    /// Describes the state of all nodes for failure messages.
    pub fn describe(&self) -> String {
        let cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        let line = |core: &Core| {
            let members: Vec<String> = core
                .members()
                .list()
                .iter()
                .map(|member| format!("{}={}/{}", member.instance, member.voter, member.standing))
                .collect();
            format!(
                "{} is {} in {} of {:?}, commit {}, snapshot {:?}, last {:?}, \
                 members {members:?}\n",
                core.voter(),
                core.role(),
                core.term(),
                core.leader(),
                core.commit(),
                core.snapshot().position,
                core.last(),
            )
        };
        cores.map(line).collect()
    }

    /// Checks that every node has applied all entries, and that no refused command was applied.
    pub(super) fn check_end(&self) {
        self.check_logs();
        let all = self.expected(Index(u64::MAX));
        for node in &self.nodes {
            assert!(node.machine.len() >= all.len() - 1, "seed {}: {}", self.seed, node.instance);
            let shared = node.machine.len().min(all.len());
            assert_eq!(node.machine[..shared], all[..shared], "seed {}", self.seed);
        }
        let twice = all.iter().any(|number| self.refused.contains(number));
        assert!(!twice, "seed {}: a refused command was applied", self.seed);
    }
}
