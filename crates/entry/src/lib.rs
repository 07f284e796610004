//! HTTP for callers.
