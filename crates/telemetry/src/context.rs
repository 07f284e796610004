//! Metrics of cached context that is moved between engines.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of the moves of cached context that an instance makes between engines.
#[derive(Debug, Default)]
pub struct ContextMetrics {
    /// Number of moves started.
    pub started: Counter,
    /// Number of moves that succeeded: the receiving engine has the context.
    pub succeeded: Counter,
    /// Number of moves that failed at an engine or exceeded their time limit.
    pub failed: Counter,
    /// Number of bytes of context moved.
    pub bytes: Counter,
}

impl ContextMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let mut register = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        register("context_moves_tried", "Moves of context begun", &metrics.started);
        register("context_moves_done", "Moves of context that succeeded", &metrics.succeeded);
        register("context_moves_failed", "Moves of context that failed", &metrics.failed);
        register("context_moved_bytes", "Bytes of context moved", &metrics.bytes);
        metrics
    }
}
