//! Replicated log of control instances: consensus, disk, snapshots.
