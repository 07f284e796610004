//! Counters, histograms and log set-up.
