//! Metrics of moves of cached context.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// What an instance counts of the context that it moved between engines.
#[derive(Debug, Default)]
pub struct ContextMetrics {
    /// Moves begun.
    pub tried: Counter,
    /// Moves after which the other engine had the context.
    pub done: Counter,
    /// Moves that an engine failed or that took too long.
    pub failed: Counter,
    /// Bytes of context moved.
    pub bytes: Counter,
}

impl ContextMetrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let context = Self::default();
        let mut register = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        register("context_moves_tried", "Moves of context begun", &context.tried);
        register("context_moves_done", "Moves of context that succeeded", &context.done);
        register("context_moves_failed", "Moves of context that failed", &context.failed);
        register("context_moved_bytes", "Bytes of context moved", &context.bytes);
        context
    }
}
