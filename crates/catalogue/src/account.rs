//! Client accounts and their API keys.

use names::ClientAccount;

/// A declared client account.
#[derive(Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: ClientAccount,
    /// API keys of the account, in plain text.
    pub keys: Vec<String>,
    /// Priority that overrides the priority of the route; 0 is the highest.
    pub rank: Option<u8>,
}

impl std::fmt::Debug for Account {
    /// Omits the API keys, so that they do not appear in logs.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut output = formatter.debug_struct("Account");
        output.field("name", &self.name).field("rank", &self.rank).finish_non_exhaustive()
    }
}

/// Result of looking up the account of a request by its API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The catalogue declares no client accounts, so every request is allowed.
    Anyone,
    /// The account that owns the presented API key.
    Known(&'a Account),
    /// The request has no API key, or no account owns the presented key.
    Unknown,
}
