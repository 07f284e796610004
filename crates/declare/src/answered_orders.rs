//! Answered orders, which make retries of an order idempotent.

use serde::{Deserialize, Serialize};

use crate::{Mark, Order, Outcome};

/// Maximum number of stored orders. The order that was answered first is dropped first.
pub const MAX_ANSWERED_ORDERS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AnsweredOrder {
    order: Order,
    /// Position in the sequence of answers.
    sequence: u64,
    mark: Mark,
    outcome: Outcome,
}

/// The most recently answered orders, sorted by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnsweredOrders {
    sorted: Vec<AnsweredOrder>,
    /// Sequence number of the last answer.
    sequence: u64,
}

impl AnsweredOrders {
    /// Returns the first outcome of `order`, or [`Outcome::Reused`] if the id was used for content
    /// with another hash than `mark`.
    ///
    /// Returns `None` if the order is not stored.
    pub(crate) fn outcome(&self, order: &Order, mark: Mark) -> Option<Outcome> {
        let index = self.find(order).ok()?;
        let answered = &self.sorted[index];
        Some(if answered.mark == mark { answered.outcome.clone() } else { Outcome::Reused })
    }

    /// Stores the outcome of `order`, unless an earlier outcome is stored.
    pub(crate) fn insert(&mut self, order: Order, mark: Mark, outcome: Outcome) {
        if let Err(index) = self.find(&order) {
            self.sequence += 1;
            let answered = AnsweredOrder { order, sequence: self.sequence, mark, outcome };
            self.sorted.insert(index, answered);
        }
        if self.sorted.len() > MAX_ANSWERED_ORDERS {
            self.drop_oldest();
        }
    }

    fn find(&self, order: &Order) -> Result<usize, usize> {
        self.sorted.binary_search_by(|answered| answered.order.cmp(order))
    }

    fn drop_oldest(&mut self) {
        let oldest = self.sorted.iter().enumerate().min_by_key(|(_, answered)| answered.sequence);
        if let Some((index, _)) = oldest {
            self.sorted.remove(index);
        }
    }
}
