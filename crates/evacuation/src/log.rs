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
    /// Evacuates a data centre, or withdraws its evacuation, whichever order is in force. Earlier
    /// versions propose it; a log on disk may hold it.
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
    /// Evacuates a data centre, or withdraws its evacuation, unless the opposite was ordered since the
    /// operator gave this order. A command that is committed late undoes nothing, because every order
    /// that was acknowledged in the meantime has a greater number than its base.
    Replace {
        /// Data centre that the order is about.
        data_centre: DataCentre,
        /// Whether the data centre is evacuated from now on.
        is_evacuated: bool,
        /// Greatest number that the proposing instance knows, as in [`Command::Order`].
        known: Number,
        /// Number of the newest order about the data centre that the proposing instance knew while
        /// the operator waited for the answer. It may be from a log that was lost, and greater than
        /// all numbers of this one.
        base: Number,
    },
}

/// Result of a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order is in force, under this number.
    InForce(Order),
    /// Orders about as many data centres are remembered as the limit allows.
    TooMany,
    /// The command cannot be decoded.
    Malformed,
    /// The command changed nothing, because this order, the opposite, was committed after the one that
    /// the command replaces.
    Outdated(Order),
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

    /// Applies an order of an earlier version. A repeat of the order in force keeps its number.
    fn order(&mut self, data_centre: DataCentre, is_evacuated: bool, known: Number) -> Outcome {
        let current = self.orders.get(&data_centre);
        // A greater number than the log has given comes from a log that was lost. Its orders may
        // differ from the ones here, so that none of them counts as being in force.
        let is_current = known <= self.last;
        if is_current && current.is_evacuated == is_evacuated {
            return Outcome::InForce(current);
        }
        match self.has_room_for(current) {
            true => self.append(data_centre, is_evacuated, known),
            false => Outcome::TooMany,
        }
    }

    /// Replaces the order `base`, or a later one that ordered the same. The order gets a new number
    /// also if it changes nothing, so that an opposite command that was given earlier is outdated.
    fn replace(
        &mut self,
        data_centre: DataCentre,
        is_evacuated: bool,
        known: Number,
        base: Number,
    ) -> Outcome {
        let current = self.orders.get(&data_centre);
        if base < current.number && current.is_evacuated != is_evacuated {
            return Outcome::Outdated(current);
        }
        match self.has_room_for(current) {
            true => self.append(data_centre, is_evacuated, known),
            false if is_evacuated => Outcome::TooMany,
            // No order about the data centre can come into force, so none has to be outdated.
            false => Outcome::InForce(current),
        }
    }

    /// Returns whether an order may follow `current`, the order in force about its data centre.
    fn has_room_for(&self, current: Order) -> bool {
        current.number > Number::default() || self.orders.len() < MAX_DATA_CENTRES
    }

    fn append(&mut self, data_centre: DataCentre, is_evacuated: bool, known: Number) -> Outcome {
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
            Ok(Command::Replace { data_centre, is_evacuated, known, base }) => {
                self.replace(data_centre, is_evacuated, known, base)
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
