//! The newest order about each data centre.

use std::cmp::Ordering;
use std::fmt;

use names::DataCentre;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of an order. A later order has a greater number; 0 means that there is no order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number(pub u64);

impl fmt::Display for Number {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// An order about a data centre. The greater order takes precedence: the one with the greater number.
/// Two orders have the same number only if the log was lost; the evacuation takes precedence then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Order {
    /// Number that the log gave the order.
    pub number: Number,
    /// Whether the data centre is evacuated, or its evacuation withdrawn.
    pub is_evacuated: bool,
}

/// The newest order about each data centre.
///
/// Orders are partially ordered: one value is less than or equal to another one that includes all
/// of its orders, or newer ones about the same data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Sorted by data centre.
    newest: Vec<(DataCentre, Order)>,
}

impl Orders {
    /// Returns a value that holds a single order, or nothing if the order has the number 0.
    pub fn single(data_centre: DataCentre, order: Order) -> Self {
        let mut orders = Self::default();
        orders.merge_order(data_centre, order);
        orders
    }

    /// Returns the newest order about `data_centre`; its number is 0 if there is none.
    pub fn get(&self, data_centre: &DataCentre) -> Order {
        self.position(data_centre).map(|index| self.newest[index].1).unwrap_or_default()
    }

    /// Returns the number of data centres about which there are orders.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Returns whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Returns the greatest number of an order.
    pub fn greatest(&self) -> Number {
        self.newest.iter().map(|(_, order)| order.number).max().unwrap_or_default()
    }

    /// Returns the evacuated data centres, sorted by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        let evacuated = self.newest.iter().filter(|(_, order)| order.is_evacuated);
        evacuated.map(|(data_centre, _)| data_centre)
    }

    /// Adds the orders of `other`, and returns those that were new.
    pub fn merge(&mut self, other: &Self) -> Vec<(DataCentre, Order)> {
        let others = other.newest.iter();
        others
            .filter(|(data_centre, order)| self.merge_order(data_centre.clone(), *order))
            .cloned()
            .collect()
    }

    /// Adds an order unless a newer one is known. Returns whether it was added.
    pub(crate) fn merge_order(&mut self, data_centre: DataCentre, order: Order) -> bool {
        let is_newer = order.number > Number::default() && order > self.get(&data_centre);
        if is_newer {
            match self.position(&data_centre) {
                Ok(index) => self.newest[index].1 = order,
                Err(index) => self.newest.insert(index, (data_centre, order)),
            }
        }
        is_newer
    }

    fn position(&self, data_centre: &DataCentre) -> Result<usize, usize> {
        self.newest.binary_search_by(|(known, _)| known.cmp(data_centre))
    }

    /// Returns a hash by which instances find out whether they have the same orders.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_allocvec(self).unwrap_or_default())
    }

    fn includes(&self, other: &Self) -> bool {
        other.newest.iter().all(|(data_centre, order)| *order <= self.get(data_centre))
    }
}

impl PartialOrd for Orders {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        match (self.includes(other), other.includes(self)) {
            (true, true) => Some(Ordering::Equal),
            (true, false) => Some(Ordering::Greater),
            (false, true) => Some(Ordering::Less),
            (false, false) => None,
        }
    }
}
