//! Client accounts and their API keys.

use names::ClientAccount;

/// A client account as it is declared.
#[derive(Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: ClientAccount,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before that of a route; 0 goes first.
    pub rank: Option<u8>,
}

impl std::fmt::Debug for Account {
    /// Leaves the keys out, so that they reach no log.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut shown = formatter.debug_struct("Account");
        shown.field("name", &self.name).field("rank", &self.rank).finish_non_exhaustive()
    }
}

/// Who a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The catalogue names no client accounts, so anyone may call.
    Anyone,
    /// The holder of the presented key.
    Known(&'a Account),
    /// No account holds the presented key.
    Unknown,
}
