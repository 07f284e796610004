//! Virtual token counters of client accounts.
//!
//! Each account has one counter a rank: the tokens that it was served, divided by its weight. An
//! account that comes back from idling is lifted to the rank's floor, so that idling earns no
//! credit; one that is ahead of the floor keeps its counter, so that a pause pays no debt.

use declare::Rank;
use names::ClientAccount;

/// Number of ranks.
pub(super) const RANKS: usize = 3;

/// Virtual tokens of one token at weight 1.
const SCALE: u64 = 1 << 10;

/// Fewest remembered accounts that are worth a sweep.
const MIN_SWEEP: usize = 64;

/// Names an account at one desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AccountId(pub(super) u32);

impl AccountId {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug, Clone, Default)]
struct Account {
    weight: u64,
    counters: [u64; RANKS],
    waiting: [u32; RANKS],
    running: u32,
}

impl Account {
    fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.iter().all(|waiting| *waiting == 0)
    }
}

/// The accounts that a desk remembers.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    ids: Vec<(ClientAccount, AccountId)>,
    slab: Vec<Account>,
    free: Vec<AccountId>,
    sweep_at: usize,
    floors: [u64; RANKS],
    waiting_weight: [u64; RANKS],
}

impl Accounts {
    /// The account called `name`, remembered from now on, with its newest weight.
    pub(super) fn enter(&mut self, name: &ClientAccount, weight: u32) -> AccountId {
        let weight = u64::from(weight.max(1));
        match self.ids.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => {
                let id = self.ids[index].1;
                self.set_weight(id, weight);
                id
            }
            Err(_) => self.insert(name, weight),
        }
    }

    fn insert(&mut self, name: &ClientAccount, weight: u64) -> AccountId {
        self.sweep();
        let account = Account { weight, counters: self.floors, ..Account::default() };
        let id = match self.free.pop() {
            Some(id) => id,
            None => {
                self.slab.push(Account::default());
                AccountId(self.slab.len() as u32 - 1)
            }
        };
        self.slab[id.index()] = account;
        let index = self.ids.partition_point(|(known, _)| known < name);
        self.ids.insert(index, (name.clone(), id));
        id
    }

    fn set_weight(&mut self, id: AccountId, weight: u64) {
        let account = &mut self.slab[id.index()];
        for (sum, waiting) in self.waiting_weight.iter_mut().zip(account.waiting) {
            if waiting > 0 {
                *sum = *sum - account.weight + weight;
            }
        }
        account.weight = weight;
    }

    /// Forgets idle accounts that are not ahead of the floors, once there are many.
    fn sweep(&mut self) {
        if self.ids.len() < self.sweep_at.max(MIN_SWEEP) {
            return;
        }
        let (slab, floors, free) = (&self.slab, &self.floors, &mut self.free);
        self.ids.retain(|(_, id)| {
            let account = &slab[id.index()];
            let mut counters = account.counters.iter().zip(floors);
            let is_kept = !account.is_idle() || counters.any(|(counter, floor)| counter > floor);
            if !is_kept {
                free.push(*id);
            }
            is_kept
        });
        self.sweep_at = 2 * self.ids.len();
    }

    pub(super) fn counter(&self, id: AccountId, rank: Rank) -> u64 {
        self.slab[id.index()].counters[rank as usize]
    }

    pub(super) fn weight(&self, id: AccountId) -> u64 {
        self.slab[id.index()].weight
    }

    /// Sum of the weights of accounts that wait in `rank`.
    pub(super) fn waiting_weight(&self, rank: Rank) -> u64 {
        self.waiting_weight[rank as usize]
    }

    /// Lifts the account to the rank's floor; for accounts of which nothing waits.
    pub(super) fn lift(&mut self, id: AccountId, rank: Rank) {
        let counter = &mut self.slab[id.index()].counters[rank as usize];
        *counter = (*counter).max(self.floors[rank as usize]);
    }

    /// Takes note that a request of the account waits in `rank`.
    pub(super) fn add_waiting(&mut self, id: AccountId, rank: Rank) {
        if self.slab[id.index()].waiting[rank as usize] == 0 {
            self.lift(id, rank);
            self.waiting_weight[rank as usize] += self.weight(id);
        }
        self.slab[id.index()].waiting[rank as usize] += 1;
    }

    /// Takes note that a request of the account waits in `rank` no longer.
    pub(super) fn remove_waiting(&mut self, id: AccountId, rank: Rank) {
        let account = &mut self.slab[id.index()];
        let rank = rank as usize;
        account.waiting[rank] -= 1;
        if account.waiting[rank] == 0 {
            self.waiting_weight[rank] -= account.weight;
        }
    }

    /// Charges the account for a request that starts while `least` is the least counter of the
    /// accounts that wait in the rank.
    pub(super) fn start(&mut self, id: AccountId, rank: Rank, least: Option<u64>, tokens: u64) {
        let account = &mut self.slab[id.index()];
        account.running += 1;
        let counter = &mut account.counters[rank as usize];
        let floor = &mut self.floors[rank as usize];
        *floor = (*floor).max(least.unwrap_or(*counter).min(*counter));
        *counter = counter.saturating_add(virtual_tokens(tokens, account.weight));
    }

    /// Corrects the charge of a request that ended from `charged` to `used`.
    pub(super) fn finish(&mut self, id: AccountId, rank: Rank, charged: u64, used: u64) {
        let account = &mut self.slab[id.index()];
        account.running -= 1;
        let weight = account.weight;
        let counter = &mut account.counters[rank as usize];
        *counter = counter
            .saturating_add(virtual_tokens(used, weight))
            .saturating_sub(virtual_tokens(charged, weight));
    }
}

fn virtual_tokens(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(SCALE) / weight
}
