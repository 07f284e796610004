//! Carries requests of the operators' port to the event loop and waits for their answers.

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use eventloop::Sender;
use operator::{Handler, Request, Response};
use telemetry::Metrics;

/// How long the event loop may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that waits for its answer.
pub(crate) struct Ask {
    pub(crate) request: Request,
    answer: SyncSender<Response>,
}

impl Ask {
    /// Answers the request.
    pub(crate) fn answer(self, response: Response) {
        if self.answer.send(response).is_err() {
            log::debug!("an operator's request was given up before its answer");
        }
    }
}

/// Handles requests on the port's threads.
pub(crate) struct Operators {
    asks: Sender<Ask>,
    metrics: Arc<Metrics>,
}

impl Operators {
    pub(crate) fn new(asks: Sender<Ask>, metrics: Arc<Metrics>) -> Self {
        Self { asks, metrics }
    }
}

impl Handler for Operators {
    fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/healthz" => return Response::text(200, "ok\n"),
            "/metrics" => return Response::text(200, self.metrics.encode()),
            _ => {}
        }
        let (answer, answered) = sync_channel(1);
        self.asks.send(Ask { request, answer });
        answered.recv_timeout(ANSWER_TIMEOUT).unwrap_or_else(|_| {
            Response::error(504, "timeout", "the instance did not answer in time; ask again")
        })
    }
}
