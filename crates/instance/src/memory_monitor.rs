//! Actor that reports how much of the memory budget is in use.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::Memory;
use stakker::{CX, after};
use telemetry::Metrics;

/// Interval at which the metrics are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Copies the state of the budget to the metrics, and logs refusals at a limited rate.
pub struct MemoryMonitor {
    memory: Memory,
    metrics: Arc<Metrics>,
    /// Number of refusals that the log contains.
    logged_refusals: u64,
    log_due: Instant,
}

impl MemoryMonitor {
    /// Starts the updates.
    pub fn init(cx: CX![], memory: Memory, metrics: Arc<Metrics>) -> Option<Self> {
        metrics.memory_budget.set(i64::try_from(memory.total_bytes()).unwrap_or(i64::MAX));
        after!(UPDATE_INTERVAL, [cx], update());
        Some(Self { memory, metrics, logged_refusals: 0, log_due: cx.now() })
    }

    fn update(&mut self, cx: CX![]) {
        after!(UPDATE_INTERVAL, [cx], update());
        let reserved = self.memory.reserved_bytes();
        self.metrics.memory_reserved.set(i64::try_from(reserved).unwrap_or(i64::MAX));
        let refusals = self.memory.refusals();
        if refusals > self.logged_refusals && cx.now() >= self.log_due {
            log::warn!(
                "the memory budget had no room {} times; {reserved} of {} bytes are reserved; \
                 raise limits.memory if ordinary requests are refused",
                refusals - self.logged_refusals,
                self.memory.total_bytes()
            );
            self.logged_refusals = refusals;
            self.log_due = cx.now() + LOG_INTERVAL;
        }
    }
}
