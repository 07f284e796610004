//! Protocols by which engines export and import context.

mod key_value_cache;

use dispatch::{Field, Head};
use names::Attempt;
use upstream::Protocol;

pub use key_value_cache::KeyValueCache;

/// Error that ends a move.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// The engine responded with a status other than 200.
    #[error("the engine responded with status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The response belongs to another move.
    #[error("the engine sent the context of another conversation")]
    WrongMove,
    /// The response is incomplete or malformed.
    #[error("the response is incomplete: {reason}")]
    Truncated {
        /// Description of what is missing.
        reason: String,
    },
    /// The context exceeds the size limit.
    #[error("the response is larger than {limit} bytes")]
    TooLarge {
        /// Maximum size of a moved context, in bytes.
        limit: usize,
    },
    /// The call failed.
    #[error("{reason}")]
    Call {
        /// Description of the failure.
        reason: String,
    },
    /// The move exceeded its time limit.
    #[error("the move exceeded its time limit")]
    TimedOut,
}

/// Result of an export.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExportedContext {
    /// The engine has no cached context of the conversation.
    Empty,
    /// The body of the import call.
    Body(Vec<u8>),
}

/// A transfer protocol. Both calls are `POST` requests with JSON bodies.
pub trait Transfer {
    /// Returns the path of the export call. Its body is the next request of the conversation.
    fn export_path(&self) -> &'static str;

    /// Returns the path of the import call.
    fn import_path(&self) -> &'static str;

    /// Returns the headers of both calls of the move `attempt`.
    fn headers(&self, attempt: Attempt) -> Vec<Field>;

    /// Checks the complete response to an export.
    ///
    /// # Errors
    ///
    /// Returns a [`TransferError`] if the context must not be imported.
    fn check_export(
        &self,
        attempt: Attempt,
        head: &Head,
        body: Vec<u8>,
    ) -> Result<ExportedContext, TransferError>;

    /// Checks the response to an import.
    ///
    /// # Errors
    ///
    /// Returns a [`TransferError`] if the engine did not import the context.
    fn check_import(&self, attempt: Attempt, head: &Head) -> Result<(), TransferError>;
}

/// Returns the transfer protocol of engines with `protocol`, or `None` if they cannot move context.
pub fn transfer_for_protocol(protocol: Protocol) -> Option<&'static dyn Transfer> {
    match protocol {
        Protocol::ChatCompletions => Some(&KeyValueCache),
        Protocol::Plain => None,
    }
}
