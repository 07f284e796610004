//! Which instance is chosen for a duty, such as owning an upstream.

use names::{Instance, Upstream};
use xxhash_rust::xxh3::xxh3_64;

use crate::weight;

/// The member with the greatest rendezvous weight for `key`, so that a member that comes or goes
/// moves only the duties that it has.
pub fn chosen<'a, I>(key: u64, members: I) -> Option<&'a Instance>
where
    I: IntoIterator<Item = &'a Instance>,
{
    members.into_iter().max_by_key(|member| (weight(key, member.as_str()), *member))
}

/// The key of the duty called `name`.
pub fn key_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The owner of `upstream` among `members`.
pub fn owner<'a, I>(upstream: &Upstream, members: I) -> Option<&'a Instance>
where
    I: IntoIterator<Item = &'a Instance>,
{
    chosen(key_of(upstream.as_str()), members)
}
