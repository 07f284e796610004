//! Choice of the upstream for a conversation.
