//! Which instance owns an upstream.

use names::{Instance, Upstream};
use xxhash_rust::xxh3::xxh3_64;

use crate::weight;

/// The owner of `upstream` among `members`: the one with the greatest rendezvous weight, so that
/// a member that comes or goes moves only the upstreams that it owns.
pub fn owner<'a, I>(upstream: &Upstream, members: I) -> Option<&'a Instance>
where
    I: IntoIterator<Item = &'a Instance>,
{
    let key = xxh3_64(upstream.as_str().as_bytes());
    members.into_iter().max_by_key(|member| (weight(key, member.as_str()), *member))
}
