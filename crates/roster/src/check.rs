//! Checks of announcements that can be read but make no sense. Of two records about an upstream, such
//! a record could take precedence over all genuine ones.

use std::net::SocketAddr;

use names::Upstream;

use crate::Announcement;

/// Maximum number of slots of an upstream.
const MAX_SLOTS: u32 = 1_000_000;

/// Maximum sequence number. Writers of JSON do not agree on greater whole numbers.
const MAX_SEQUENCE: u64 = 1 << 53;

/// Maximum time by which the clock of an upstream may be ahead of the clock of an instance.
const MAX_CLOCK_LEAD_MILLIS: u64 = 24 * 60 * 60 * 1000;

/// Error from an announcement or a leave that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection to the address can succeed.
    #[error(
        "address {address} of upstream \"{upstream}\" cannot be connected to; help: announce the \
         IP address and the port that the upstream listens on"
    )]
    Address {
        /// Name of the upstream.
        upstream: Upstream,
        /// The announced address.
        address: SocketAddr,
    },
    /// The number of slots is too large.
    #[error("upstream \"{upstream}\" announces {slots} slots; help: announce at most {limit}")]
    Slots {
        /// Name of the upstream.
        upstream: Upstream,
        /// The announced number.
        slots: u32,
        /// Maximum number.
        limit: u32,
    },
    /// The sequence number is too large.
    #[error(
        "sequence number {sequence} of upstream \"{upstream}\" is above {limit}; help: count the \
         announcements since the start"
    )]
    Sequence {
        /// Name of the upstream.
        upstream: Upstream,
        /// The announced number.
        sequence: u64,
        /// Maximum number.
        limit: u64,
    },
    /// The run starts in the future.
    #[error(
        "the run of upstream \"{upstream}\" starts later than the clock of this instance says, at \
         {born}; help: announce its start in milliseconds of Unix time"
    )]
    Born {
        /// Name of the upstream.
        upstream: Upstream,
        /// The announced start, in milliseconds of Unix time.
        born: u64,
    },
}

/// Checks the start of a run of `upstream` at `now_millis`, in milliseconds of Unix time.
///
/// # Errors
///
/// [`Error::Born`] if the start is further in the future than clocks differ.
pub fn check_born(upstream: &Upstream, born: u64, now_millis: u64) -> Result<(), Error> {
    if born > now_millis.saturating_add(MAX_CLOCK_LEAD_MILLIS) {
        return Err(Error::Born { upstream: upstream.clone(), born });
    }
    Ok(())
}

impl Announcement {
    /// Checks the values of an announcement that arrives at `now_millis`, in milliseconds of Unix
    /// time.
    ///
    /// # Errors
    ///
    /// The first value that makes no sense.
    pub fn check(&self, now_millis: u64) -> Result<(), Error> {
        let upstream = || self.upstream.clone();
        if !names::is_connectable(self.address) {
            return Err(Error::Address { upstream: upstream(), address: self.address });
        }
        if self.slots > MAX_SLOTS {
            let (slots, limit) = (self.slots, MAX_SLOTS);
            return Err(Error::Slots { upstream: upstream(), slots, limit });
        }
        if self.sequence > MAX_SEQUENCE {
            let (sequence, limit) = (self.sequence, MAX_SEQUENCE);
            return Err(Error::Sequence { upstream: upstream(), sequence, limit });
        }
        check_born(&self.upstream, self.born, now_millis)
    }
}
