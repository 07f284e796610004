//! HTTP endpoints for the readiness and the metrics of an instance.

use std::sync::Arc;

use entry::{Event, Header, Method, Problem, Rejection, Reply, Status};
use stakker::CX;
use telemetry::Metrics;

/// Answers every request with the readiness of the instance.
pub(crate) struct ReadinessEndpoint {
    is_ready: bool,
    is_stopping: bool,
}

impl ReadinessEndpoint {
    pub(crate) fn init(_: CX![]) -> Option<Self> {
        Some(Self { is_ready: false, is_stopping: false })
    }

    pub(crate) fn set_ready(&mut self, _: CX![], is_ready: bool) {
        self.is_ready = is_ready;
    }

    /// Reports the instance as not ready from now on.
    pub(crate) fn stop(&mut self, _: CX![]) {
        self.is_stopping = true;
    }

    pub(crate) fn handle(&mut self, _: CX![], event: Event) {
        if let Event::Arrived { reply, .. } = event {
            let is_ready = self.is_ready && !self.is_stopping;
            let (status, text) = match is_ready {
                true => (Status::OK, "ready\n"),
                false => (Status::UNAVAILABLE, "not ready\n"),
            };
            let body = text.as_bytes().to_vec();
            reply.fwd(Reply::Whole { status, headers: Vec::new(), body });
        }
    }
}

/// Answers `GET /metrics`.
pub(crate) struct MetricsEndpoint {
    metrics: Arc<Metrics>,
}

impl MetricsEndpoint {
    pub(crate) fn init(_: CX![], metrics: Arc<Metrics>) -> Option<Self> {
        Some(Self { metrics })
    }

    pub(crate) fn handle(&mut self, _: CX![], event: Event) {
        let Event::Arrived { request, reply, .. } = event else {
            return;
        };
        if request.method != Method::Get || request.path != "/metrics" {
            let message = format!("{} {} does not exist", request.method, request.path);
            reply.fwd(Problem::rejected(Rejection::NotFound, "unknown_path", message).into_reply());
            return;
        }
        let headers = vec![Header::new("content-type", "text/plain; version=0.0.4")];
        let body = self.metrics.encode().into_bytes();
        reply.fwd(Reply::Whole { status: Status::OK, headers, body });
    }
}
