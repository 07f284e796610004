//! Where an engine may fetch context that it has not read.

use crate::{Candidate, policy};

/// The place of the engine that most likely has read the context `key`, other than the one
/// `chosen` for the request: the first in the order of the key that did not fail lately.
pub fn source(candidates: &[Candidate], chosen: usize, key: u64) -> Option<usize> {
    let usable = (0..candidates.len()).filter(|place| *place != chosen);
    let usable = usable.filter(|place| !candidates[*place].is_avoided);
    usable.max_by_key(|place| policy::weight(&candidates[*place], key))
}
