//! Limit on the bytes of incomplete requests that all connections together may buffer.

use std::cell::Cell;
use std::rc::Rc;

/// Budget shared by the connections of one server.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    available_bytes: Rc<Cell<usize>>,
}

/// Part of the budget that one connection has reserved. Dropping it returns the bytes.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    reserved_bytes: usize,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { available_bytes: Rc::new(Cell::new(bytes)) }
    }

    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), reserved_bytes: 0 }
    }
}

impl Reservation {
    /// Changes the reservation to `bytes`. Returns false and keeps the old size if the budget does
    /// not suffice.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let available = self.budget.available_bytes.get() + self.reserved_bytes;
        if bytes > available {
            return false;
        }
        self.budget.available_bytes.set(available - bytes);
        self.reserved_bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.available_bytes.set(self.budget.available_bytes.get() + self.reserved_bytes);
    }
}
