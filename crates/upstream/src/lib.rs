//! Announced upstreams: expiry, labels, load, cache events, drain.
