//! The memory of answered orders, by which a resent order gets its first answer.

use serde::{Deserialize, Serialize};

use crate::{Mark, Order, Outcome};

/// Most orders that are remembered; the one answered first is forgotten first.
pub const REMEMBERED_ORDERS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answered {
    order: Order,
    sequence: u64,
    mark: Mark,
    outcome: Outcome,
}

/// Answered orders, sorted by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Orders {
    sorted: Vec<Answered>,
    sequence: u64,
}

impl Orders {
    /// The first answer to `order`, or that the id was used for content other than `mark`.
    pub(crate) fn answer(&self, order: &Order, mark: Mark) -> Option<Outcome> {
        let index = self.find(order).ok()?;
        let answered = &self.sorted[index];
        Some(if answered.mark == mark { answered.outcome.clone() } else { Outcome::Reused })
    }

    /// Remembers the first answer to `order`.
    pub(crate) fn remember(&mut self, order: Order, mark: Mark, outcome: Outcome) {
        if let Err(index) = self.find(&order) {
            self.sequence += 1;
            let answered = Answered { order, sequence: self.sequence, mark, outcome };
            self.sorted.insert(index, answered);
        }
        if self.sorted.len() > REMEMBERED_ORDERS {
            self.forget();
        }
    }

    fn find(&self, order: &Order) -> Result<usize, usize> {
        self.sorted.binary_search_by(|answered| answered.order.cmp(order))
    }

    fn forget(&mut self) {
        let oldest = self.sorted.iter().enumerate().min_by_key(|(_, answered)| answered.sequence);
        if let Some((index, _)) = oldest {
            self.sorted.remove(index);
        }
    }
}
