//! Virtual token counters of client accounts for fair queueing.
//!
//! Each account has one counter per rank: the tokens that it was served, divided by its weight.
//! When an idle account becomes active again, its counter is raised to the floor of the rank, so
//! that idling earns no credit. A counter above the floor is kept, so that idling does not cancel
//! debt.

/// Number of virtual tokens per token at weight 1.
const VIRTUAL_TOKENS_PER_TOKEN: u64 = 1 << 10;

/// Fewest accounts for which idle accounts are removed.
const MIN_CLEANUP_ACCOUNTS: usize = 64;

/// Id of an account in one admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountId(u32);

impl AccountId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug, Clone)]
struct Account<const RANKS: usize> {
    weight: u64,
    counters: [u64; RANKS],
    waiting: [u32; RANKS],
    running: u32,
}

impl<const RANKS: usize> Account<RANKS> {
    fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.iter().all(|waiting| *waiting == 0)
    }
}

/// Accounts that a queue with `RANKS` ranks tracks, by their name.
#[derive(Debug)]
pub struct Accounts<N, const RANKS: usize> {
    ids: Vec<(N, AccountId)>,
    slab: Vec<Account<RANKS>>,
    free: Vec<AccountId>,
    cleanup_threshold: usize,
    floors: [u64; RANKS],
    waiting_weight: [u64; RANKS],
}

impl<N, const RANKS: usize> Default for Accounts<N, RANKS> {
    fn default() -> Self {
        Self {
            ids: Vec::new(),
            slab: Vec::new(),
            free: Vec::new(),
            cleanup_threshold: 0,
            floors: [0; RANKS],
            waiting_weight: [0; RANKS],
        }
    }
}

impl<N, const RANKS: usize> Accounts<N, RANKS>
where
    N: Ord + Clone,
{
    /// Returns the id of the account `name` after setting its weight. Adds the account if it is not
    /// tracked yet.
    pub fn get_or_insert(&mut self, name: &N, weight: u32) -> AccountId {
        let weight = u64::from(weight.max(1));
        match self.ids.binary_search_by(|(existing, _)| existing.cmp(name)) {
            Ok(index) => {
                let id = self.ids[index].1;
                self.set_weight(id, weight);
                id
            }
            Err(_) => self.insert(name, weight),
        }
    }

    fn insert(&mut self, name: &N, weight: u64) -> AccountId {
        self.remove_idle();
        let account = Account { weight, counters: self.floors, waiting: [0; RANKS], running: 0 };
        let id = match self.free.pop() {
            Some(id) => {
                self.slab[id.index()] = account;
                id
            }
            None => {
                self.slab.push(account);
                AccountId(self.slab.len() as u32 - 1)
            }
        };
        let index = self.ids.partition_point(|(existing, _)| existing < name);
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

    /// Removes idle accounts without a counter above its floor once the number of accounts reaches
    /// the threshold.
    fn remove_idle(&mut self) {
        if self.ids.len() < self.cleanup_threshold.max(MIN_CLEANUP_ACCOUNTS) {
            return;
        }
        let (slab, floors, free) = (&self.slab, &self.floors, &mut self.free);
        self.ids.retain(|(_, id)| {
            let account = &slab[id.index()];
            let mut counters = account.counters.iter().zip(floors);
            let is_retained =
                !account.is_idle() || counters.any(|(counter, floor)| counter > floor);
            if !is_retained {
                free.push(*id);
            }
            is_retained
        });
        self.cleanup_threshold = 2 * self.ids.len();
    }

    /// Returns the virtual tokens that the account was served in `rank`.
    pub fn counter(&self, id: AccountId, rank: usize) -> u64 {
        self.slab[id.index()].counters[rank]
    }

    /// Returns the weight of the account.
    pub fn weight(&self, id: AccountId) -> u64 {
        self.slab[id.index()].weight
    }

    /// Returns the sum of the weights of the accounts with waiting requests in `rank`.
    pub fn waiting_weight(&self, rank: usize) -> u64 {
        self.waiting_weight[rank]
    }

    /// Raises the account's counter to the floor of `rank`. Must only be called for accounts
    /// without waiting requests in `rank`.
    pub fn raise_to_floor(&mut self, id: AccountId, rank: usize) {
        let counter = &mut self.slab[id.index()].counters[rank];
        *counter = (*counter).max(self.floors[rank]);
    }

    /// Records a new waiting request of the account in `rank`.
    pub fn add_waiting(&mut self, id: AccountId, rank: usize) {
        if self.slab[id.index()].waiting[rank] == 0 {
            self.raise_to_floor(id, rank);
            self.waiting_weight[rank] += self.weight(id);
        }
        self.slab[id.index()].waiting[rank] += 1;
    }

    /// Records that a waiting request of the account in `rank` was removed.
    pub fn remove_waiting(&mut self, id: AccountId, rank: usize) {
        let account = &mut self.slab[id.index()];
        account.waiting[rank] -= 1;
        if account.waiting[rank] == 0 {
            self.waiting_weight[rank] -= account.weight;
        }
    }

    /// Charges the account for a request that starts. `min_counter` is the smallest counter of the
    /// accounts with waiting requests in `rank`.
    pub fn start(&mut self, id: AccountId, rank: usize, min_counter: Option<u64>, tokens: u64) {
        let account = &mut self.slab[id.index()];
        account.running += 1;
        let counter = &mut account.counters[rank];
        let floor = &mut self.floors[rank];
        *floor = (*floor).max(min_counter.unwrap_or(*counter).min(*counter));
        *counter = counter.saturating_add(virtual_tokens(tokens, account.weight));
    }

    /// Returns the virtual tokens that the account is charged for `tokens` tokens.
    pub fn charge(&self, id: AccountId, tokens: u64) -> u64 {
        virtual_tokens(tokens, self.weight(id))
    }

    /// Corrects the charge of a finished request from `charged` to `used` tokens.
    pub fn finish(&mut self, id: AccountId, rank: usize, charged: u64, used: u64) {
        let account = &mut self.slab[id.index()];
        account.running -= 1;
        let weight = account.weight;
        let counter = &mut account.counters[rank];
        *counter = counter
            .saturating_add(virtual_tokens(used, weight))
            .saturating_sub(virtual_tokens(charged, weight));
    }
}

fn virtual_tokens(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(VIRTUAL_TOKENS_PER_TOKEN) / weight
}
