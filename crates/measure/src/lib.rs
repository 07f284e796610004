//! Load tool: seeded open-loop load against running instances.
