//! Which instances live: failure detection with suspicion and refutation.
