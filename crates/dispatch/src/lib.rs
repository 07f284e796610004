//! Attempts at upstreams: one call, its verdict, retry and resume.
