//! Assignment of responsibilities, such as owning an upstream, to instances by rendezvous hashing.

use names::{Instance, Upstream};
use xxhash_rust::xxh3::xxh3_64;

use crate::weight;

/// Returns the member with the greatest rendezvous weight for `key`. A member that joins or leaves
/// therefore moves only its own responsibilities.
pub fn rendezvous_owner<'a, I>(key: u64, members: I) -> Option<&'a Instance>
where
    I: IntoIterator<Item = &'a Instance>,
{
    members.into_iter().max_by_key(|member| (weight(key, member.as_str()), *member))
}

/// Returns the hash of `name`, which is the key of the responsibility with this name.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the owner of `upstream` among `members`.
pub fn owner<'a, I>(upstream: &Upstream, members: I) -> Option<&'a Instance>
where
    I: IntoIterator<Item = &'a Instance>,
{
    rendezvous_owner(hash_name(upstream.as_str()), members)
}
