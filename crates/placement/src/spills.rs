//! Conversations that went to another upstream than their first.

use names::Upstream;

/// A conversation and the upstream with the fresher copy of its context.
#[derive(Debug, Clone)]
struct Spill {
    key: u64,
    upstream: Upstream,
    used: u64,
}

/// The newest spilled conversations, sorted by key; the least recently used is forgotten first.
#[derive(Debug)]
pub struct Spills {
    spills: Vec<Spill>,
    capacity: usize,
    clock: u64,
}

impl Spills {
    /// Room for `capacity` conversations.
    pub fn new(capacity: usize) -> Self {
        Self { spills: Vec::new(), capacity, clock: 0 }
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.spills.binary_search_by(|spill| spill.key.cmp(&key))
    }

    /// The upstream that the conversation was spilled to.
    pub fn get(&self, key: u64) -> Option<&Upstream> {
        self.find(key).ok().map(|index| &self.spills[index].upstream)
    }

    /// Number of conversations remembered.
    pub fn len(&self) -> usize {
        self.spills.len()
    }

    /// Whether no conversation is remembered.
    pub fn is_empty(&self) -> bool {
        self.spills.is_empty()
    }

    /// Takes note that the conversation was spilled to `upstream`.
    pub fn insert(&mut self, key: u64, upstream: &Upstream) {
        self.clock += 1;
        let spill = Spill { key, upstream: upstream.clone(), used: self.clock };
        match self.find(key) {
            Ok(index) => self.spills[index] = spill,
            Err(index) => self.spills.insert(index, spill),
        }
        if self.spills.len() > self.capacity {
            self.forget_older_half();
        }
    }

    /// Forgets the conversation, whose first upstream has the fresher copy again.
    pub fn remove(&mut self, key: u64) {
        if let Ok(index) = self.find(key) {
            self.spills.remove(index);
        }
    }

    fn forget_older_half(&mut self) {
        let mut used: Vec<_> = self.spills.iter().map(|spill| spill.used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let oldest_kept = *median;
        self.spills.retain(|spill| spill.used >= oldest_kept);
    }
}
