//! Per-account usage of the ledger, which the account limits are checked against.

use names::ClientAccount;
use serde::{Deserialize, Serialize};

use crate::Time;

/// Index of an account in [`Accounts`]. The index is stable while the account holds keys and may
/// be reused for another account afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Slot(pub(crate) u16);

/// Number of keys, records and bytes in use, by one account or in total.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    /// Claimed keys, including archived ones.
    pub(crate) keys: usize,
    /// Full records, which are not archived yet.
    pub(crate) records: usize,
    /// Bytes of the full records.
    pub(crate) bytes: usize,
    /// Time before which no search for records to archive is started, because the last search
    /// found too few.
    pub(crate) next_search_at: Time,
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
struct AccountEntry {
    account: ClientAccount,
    usage: Usage,
}

/// Usage of each account that holds keys, and total usage.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Accounts {
    /// Accounts, indexed by slot; `None` for a free slot.
    entries: Vec<Option<AccountEntry>>,
    /// Slots in use, sorted by account.
    slots_by_account: Vec<Slot>,
    free_slots: Vec<Slot>,
    total: Usage,
}

impl Accounts {
    pub(crate) fn total(&self) -> Usage {
        self.total
    }

    pub(crate) fn usage(&self, account: &ClientAccount) -> Usage {
        let entry = self.slot(account).and_then(|slot| self.entry(slot));
        entry.map_or(Usage::default(), |entry| entry.usage)
    }

    /// Returns the slot of `account`, or `None` if the account holds no keys.
    pub(crate) fn slot(&self, account: &ClientAccount) -> Option<Slot> {
        self.find(account).ok().map(|index| self.slots_by_account[index])
    }

    /// Returns whether `account` has a slot or a slot is available for it.
    pub(crate) fn has_slot_for(&self, account: &ClientAccount) -> bool {
        self.slots_by_account.len() < usize::from(u16::MAX) || self.find(account).is_ok()
    }

    /// Adds a new full record of `bytes` bytes to the usage of `account`.
    pub(crate) fn add_record(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.add(bytes);
        let slot = match self.find(account) {
            Ok(index) => self.slots_by_account[index],
            Err(index) => self.allocate_slot(index, account),
        };
        if let Some(entry) = self.entry_mut(slot) {
            entry.usage.add(bytes);
        }
    }

    /// Adds the bytes by which a full record has grown.
    pub(crate) fn add_bytes(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.bytes += bytes;
        if let Some(entry) = self.slot(account).and_then(|slot| self.entry_mut(slot)) {
            entry.usage.bytes += bytes;
        }
    }

    /// Subtracts a record that is archived; its key still counts.
    pub(crate) fn archive_record(&mut self, account: &ClientAccount, bytes: usize) {
        self.total.archive(bytes);
        if let Some(entry) = self.slot(account).and_then(|slot| self.entry_mut(slot)) {
            entry.usage.archive(bytes);
        }
    }

    /// Subtracts a full record that is removed, and its key.
    pub(crate) fn remove_record(&mut self, account: &ClientAccount, bytes: usize) {
        self.archive_record(account, bytes);
        if let Some(slot) = self.slot(account) {
            self.remove_key(slot);
        }
    }

    /// Subtracts a key that is removed, and frees the slot of an account without further keys.
    pub(crate) fn remove_key(&mut self, slot: Slot) {
        self.total.keys = self.total.keys.saturating_sub(1);
        let Some(entry) = self.entry_mut(slot) else {
            return;
        };
        entry.usage.keys = entry.usage.keys.saturating_sub(1);
        if entry.usage.keys == 0 {
            let account = entry.account.clone();
            self.release_slot(&account, slot);
        }
    }

    /// Suppresses searches for records to archive until `until`, among the records of `account`
    /// or, if `account` is `None`, among those of all accounts.
    pub(crate) fn defer_search(&mut self, account: Option<&ClientAccount>, until: Time) {
        let Some(account) = account else {
            self.total.next_search_at = until;
            return;
        };
        if let Some(entry) = self.slot(account).and_then(|slot| self.entry_mut(slot)) {
            entry.usage.next_search_at = until;
        }
    }

    fn allocate_slot(&mut self, index: usize, account: &ClientAccount) -> Slot {
        let entry = AccountEntry { account: account.clone(), usage: Usage::default() };
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.entries.push(None);
            Slot(u16::try_from(self.entries.len() - 1).unwrap_or(u16::MAX))
        });
        self.entries[usize::from(slot.0)] = Some(entry);
        self.slots_by_account.insert(index, slot);
        slot
    }

    fn release_slot(&mut self, account: &ClientAccount, slot: Slot) {
        if let Ok(index) = self.find(account) {
            self.slots_by_account.remove(index);
            self.entries[usize::from(slot.0)] = None;
            self.free_slots.push(slot);
        }
    }

    fn entry(&self, slot: Slot) -> Option<&AccountEntry> {
        self.entries.get(usize::from(slot.0))?.as_ref()
    }

    fn entry_mut(&mut self, slot: Slot) -> Option<&mut AccountEntry> {
        self.entries.get_mut(usize::from(slot.0))?.as_mut()
    }

    fn find(&self, account: &ClientAccount) -> Result<usize, usize> {
        self.slots_by_account.binary_search_by(|slot| {
            let other = self.entry(*slot).map(|entry| &entry.account);
            other.cmp(&Some(account))
        })
    }
}
