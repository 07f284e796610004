//! Conversations that were sent to an upstream other than their home.

use names::Upstream;

/// A conversation and the upstream with the most recent copy of its context.
#[derive(Debug, Clone)]
struct SpilledConversation {
    key: u64,
    upstream: Upstream,
    /// Value of the logical clock at the last update.
    updated: u64,
}

/// A bounded map from conversations to the upstreams that they spilled to. When it is full, the
/// entries that were updated least recently are removed.
#[derive(Debug)]
pub struct SpilledConversations {
    /// Sorted by key.
    conversations: Vec<SpilledConversation>,
    capacity: usize,
    clock: u64,
}

impl SpilledConversations {
    /// Creates an empty map for up to `capacity` conversations.
    pub fn new(capacity: usize) -> Self {
        Self { conversations: Vec::new(), capacity, clock: 0 }
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.conversations.binary_search_by(|conversation| conversation.key.cmp(&key))
    }

    /// Returns the upstream that the conversation spilled to.
    pub fn get(&self, key: u64) -> Option<&Upstream> {
        self.find(key).ok().map(|index| &self.conversations[index].upstream)
    }

    /// Returns the number of conversations in the map.
    pub fn len(&self) -> usize {
        self.conversations.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.conversations.is_empty()
    }

    /// Records that the conversation spilled to `upstream`.
    pub fn insert(&mut self, key: u64, upstream: &Upstream) {
        self.clock += 1;
        let conversation =
            SpilledConversation { key, upstream: upstream.clone(), updated: self.clock };
        match self.find(key) {
            Ok(index) => self.conversations[index] = conversation,
            Err(index) => self.conversations.insert(index, conversation),
        }
        if self.conversations.len() > self.capacity {
            self.remove_older_half();
        }
    }

    /// Removes the conversation, because its home has the most recent copy again.
    pub fn remove(&mut self, key: u64) {
        if let Ok(index) = self.find(key) {
            self.conversations.remove(index);
        }
    }

    fn remove_older_half(&mut self) {
        let mut updated: Vec<_> =
            self.conversations.iter().map(|conversation| conversation.updated).collect();
        let middle = updated.len() / 2;
        let (_, median, _) = updated.select_nth_unstable(middle);
        let oldest_retained = *median;
        self.conversations.retain(|conversation| conversation.updated >= oldest_retained);
    }
}
