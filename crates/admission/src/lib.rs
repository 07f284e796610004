//! Ranks, fairness between client accounts, deadlines, queues.
