//! What each client account holds of the ledger.

use names::ClientAccount;
use serde::{Deserialize, Serialize};

use crate::Time;

/// Number of an account as long as it holds keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Slot(pub(crate) u16);

/// Keys and bytes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    /// Claimed keys, with those of which only the outcome is kept.
    pub(crate) keys: usize,
    /// Records that are kept whole.
    pub(crate) records: usize,
    /// Bytes of these.
    pub(crate) bytes: usize,
    /// Until when no search for records that need not be kept whole is worth while.
    pub(crate) search_after: Time,
}

impl Usage {
    fn add(&mut self, bytes: usize) {
        self.keys += 1;
        self.records += 1;
        self.bytes += bytes;
    }

    fn archive(&mut self, bytes: usize) {
        self.records = self.records.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    account: ClientAccount,
    usage: Usage,
}

/// The usage of each account that holds keys, and of all together.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accounts {
    /// By slot; a free one may be given to another account.
    holders: Vec<Option<Holder>>,
    /// The slots in use, sorted by account.
    sorted: Vec<Slot>,
    free: Vec<Slot>,
    total: Usage,
}

impl Accounts {
    pub(crate) fn total(&self) -> Usage {
        self.total
    }

    pub(crate) fn usage(&self, account: &ClientAccount) -> Usage {
        let holder = self.slot(account).and_then(|slot| self.holder(slot));
        holder.map_or(Usage::default(), |holder| holder.usage)
    }

    /// The slot of an account that holds keys.
    pub(crate) fn slot(&self, account: &ClientAccount) -> Option<Slot> {
        self.find(account).ok().map(|index| self.sorted[index])
    }

    /// Whether one more account may hold keys.
    pub(crate) fn has_slot_for(&self, account: &ClientAccount) -> bool {
        self.sorted.len() < usize::from(u16::MAX) || self.find(account).is_ok()
    }

    /// Counts a new record.
    pub(crate) fn add(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.add(bytes);
        let slot = match self.find(account) {
            Ok(index) => self.sorted[index],
            Err(index) => self.occupy(index, account),
        };
        if let Some(holder) = self.holder_mut(slot) {
            holder.usage.add(bytes);
        }
    }

    /// Counts bytes that a record grew by.
    pub(crate) fn grow(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.bytes += bytes;
        if let Some(holder) = self.slot(account).and_then(|slot| self.holder_mut(slot)) {
            holder.usage.bytes += bytes;
        }
    }

    /// Counts a record of which only the outcome is kept from now on.
    pub(crate) fn archive(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.archive(bytes);
        if let Some(holder) = self.slot(account).and_then(|slot| self.holder_mut(slot)) {
            holder.usage.archive(bytes);
        }
    }

    /// Counts a record that went away.
    pub(crate) fn remove(&mut self, account: &ClientAccount, bytes: usize) {
        self.archive(account, bytes);
        if let Some(slot) = self.slot(account) {
            self.forget(slot);
        }
    }

    /// Counts a key that went away.
    pub(crate) fn forget(&mut self, slot: Slot) {
        self.total.keys = self.total.keys.saturating_sub(1);
        let Some(holder) = self.holder_mut(slot) else {
            return;
        };
        holder.usage.keys = holder.usage.keys.saturating_sub(1);
        if holder.usage.keys == 0 {
            let account = holder.account.clone();
            self.vacate(&account, slot);
        }
    }

    /// Puts off the search for records of `account`, of all accounts if none is given.
    pub(crate) fn put_off_search(&mut self, account: Option<&ClientAccount>, until: Time) {
        let Some(account) = account else {
            self.total.search_after = until;
            return;
        };
        if let Some(holder) = self.slot(account).and_then(|slot| self.holder_mut(slot)) {
            holder.usage.search_after = until;
        }
    }

    fn occupy(&mut self, index: usize, account: &ClientAccount) -> Slot {
        let holder = Holder { account: account.clone(), usage: Usage::default() };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.holders.push(None);
            Slot(u16::try_from(self.holders.len() - 1).unwrap_or(u16::MAX))
        });
        self.holders[usize::from(slot.0)] = Some(holder);
        self.sorted.insert(index, slot);
        slot
    }

    fn vacate(&mut self, account: &ClientAccount, slot: Slot) {
        if let Ok(index) = self.find(account) {
            self.sorted.remove(index);
            self.holders[usize::from(slot.0)] = None;
            self.free.push(slot);
        }
    }

    fn holder(&self, slot: Slot) -> Option<&Holder> {
        self.holders.get(usize::from(slot.0))?.as_ref()
    }

    fn holder_mut(&mut self, slot: Slot) -> Option<&mut Holder> {
        self.holders.get_mut(usize::from(slot.0))?.as_mut()
    }

    fn find(&self, account: &ClientAccount) -> Result<usize, usize> {
        self.sorted.binary_search_by(|slot| {
            let other = self.holder(*slot).map(|holder| &holder.account);
            other.cmp(&Some(account))
        })
    }
}
