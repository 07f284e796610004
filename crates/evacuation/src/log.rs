//! The replicated state machine that numbers orders.

use names::DataCentre;
use serde::{Deserialize, Serialize};
use state::{Index, Machine};

use crate::{Number, Order, Orders};

/// Maximum number of data centres about which orders are remembered. Instances exchange all orders
/// in one message, which stays small.
pub const MAX_DATA_CENTRES: usize = 256;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Evacuates a data centre, or withdraws its evacuation.
    Order {
        /// Data centre that the order is about.
        data_centre: DataCentre,
        /// Whether the data centre is evacuated from now on.
        is_evacuated: bool,
        /// Greatest number that the proposing instance knows. The order gets a greater number, also
        /// if the log was lost and numbers from the beginning, because copies of older orders may
        /// have survived outside the log.
        known: Number,
    },
}

/// Result of a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order is in force, under this number. A repeat of the order in force keeps its number.
    InForce(Order),
    /// Orders about as many data centres are remembered as the limit allows.
    TooMany,
    /// The command cannot be decoded.
    Malformed,
}

/// Replicated state machine that numbers orders. It changes by committed commands alone, so that all
/// voters give an order the same number; orders that an instance learns otherwise are kept apart.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLog {
    /// Greatest number that was given, or that a proposing instance knew.
    last: Number,
    orders: Orders,
}

impl OrderLog {
    /// Returns the committed orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the greatest number that was given, or that a proposing instance knew.
    pub fn last(&self) -> Number {
        self.last
    }

    fn order(&mut self, data_centre: DataCentre, is_evacuated: bool, known: Number) -> Outcome {
        let current = self.orders.get(&data_centre);
        // A greater number than the log has given comes from a log that was lost. Its orders may
        // differ from the ones here, so that none of them counts as being in force.
        let is_current = known <= self.last;
        if is_current && current.is_evacuated == is_evacuated {
            return Outcome::InForce(current);
        }
        let is_known = current.number > Number::default();
        if !is_known && self.orders.len() >= MAX_DATA_CENTRES {
            return Outcome::TooMany;
        }
        self.last = Number(self.last.max(known).0.saturating_add(1));
        let order = Order { number: self.last, is_evacuated };
        self.orders.merge_order(data_centre, order);
        Outcome::InForce(order)
    }
}

impl Machine for OrderLog {
    fn apply(&mut self, _: Index, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(Command::Order { data_centre, is_evacuated, known }) => {
                self.order(data_centre, is_evacuated, known)
            }
            Err(_) => Outcome::Malformed,
        };
        postcard::to_allocvec(&outcome).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let restored = postcard::from_bytes(snapshot);
        let is_restored = restored.is_ok();
        *self = restored.unwrap_or_else(|_| self.clone());
        is_restored
    }
}
