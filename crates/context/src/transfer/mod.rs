//! How engines export and import context.

mod key_value_cache;

use dispatch::{Field, Head};
use names::Attempt;
use upstream::Protocol;

pub use key_value_cache::KeyValueCache;

/// Why an engine's answer cannot be used for a move.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// The engine refused.
    #[error("it answered with status {status}")]
    Status {
        /// Its status.
        status: u16,
    },
    /// The answer belongs to another move.
    #[error("it sent the context of another conversation")]
    Crossed,
    /// The answer broke off.
    #[error("its context is not whole: {reason}")]
    Truncated {
        /// What is missing.
        reason: String,
    },
    /// The context is larger than allowed.
    #[error("its context is larger than {limit} bytes")]
    Large {
        /// Most bytes of a moved context.
        limit: usize,
    },
    /// The call failed.
    #[error("{reason}")]
    Call {
        /// What went wrong.
        reason: String,
    },
    /// The time limit passed.
    #[error("it took longer than the time limit")]
    TimedOut,
}

/// What an engine exported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Exported {
    /// Nothing of the conversation is cached.
    Nothing,
    /// The body of the import.
    Context(Vec<u8>),
}

/// One protocol of moves. The calls are `POST`s of JSON.
pub trait Transfer {
    /// The path of the export; its body is the request that the conversation sends next.
    fn export_path(&self) -> &'static str;

    /// The path of the import.
    fn import_path(&self) -> &'static str;

    /// The headers of both calls of the move `attempt`.
    fn headers(&self, attempt: Attempt) -> Vec<Field>;

    /// Judges the whole answer to an export.
    ///
    /// # Errors
    ///
    /// [`Flaw`] when the context must not be imported.
    fn exported(&self, attempt: Attempt, head: &Head, body: Vec<u8>) -> Result<Exported, Flaw>;

    /// Judges the answer to an import.
    ///
    /// # Errors
    ///
    /// [`Flaw`] when the engine did not take the context.
    fn imported(&self, attempt: Attempt, head: &Head) -> Result<(), Flaw>;
}

/// How engines of `protocol` move context; none when they cannot.
pub fn of_protocol(protocol: Protocol) -> Option<&'static dyn Transfer> {
    match protocol {
        Protocol::ChatCompletions => Some(&KeyValueCache),
        Protocol::Plain => None,
    }
}
