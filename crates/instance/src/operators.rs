//! Carries requests of the operators' port to the event loop and waits for their answers.

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use declare::Document;
use eventloop::Sender;
use operator::{Handler, Request, Response};
use telemetry::Metrics;

use crate::config::{self, Access};

/// How long the event loop may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that waits for its answer.
pub(crate) struct Ask {
    pub(crate) request: Request,
    /// The declarations in its body; read on the port's threads, as that takes long.
    pub(crate) document: Option<Document>,
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
    access: Access,
}

impl Operators {
    pub(crate) fn new(asks: Sender<Ask>, metrics: Arc<Metrics>, access: Access) -> Self {
        Self { asks, metrics, access }
    }

    /// The declarations in the body of a request that has some.
    fn document(&self, request: &Request) -> Result<Option<Document>, Response> {
        let checked = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/declarations") => self.access.check_writer(request).map(|_| ()),
            ("POST", "/declarations/diff") => self.access.check_reader(request),
            _ => return Ok(None),
        };
        if let Err(refusal) = checked {
            self.metrics.count_refused("operator");
            return Err(refusal);
        }
        config::read_document(request).map(Some)
    }
}

impl Handler for Operators {
    fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/healthz" => return Response::text(200, "ok\n"),
            "/metrics" => return Response::text(200, self.metrics.encode()),
            _ => {}
        }
        let document = match self.document(&request) {
            Ok(document) => document,
            Err(response) => return response,
        };
        let (answer, answered) = sync_channel(1);
        self.asks.send(Ask { request, document, answer });
        answered.recv_timeout(ANSWER_TIMEOUT).unwrap_or_else(|_| {
            Response::error(504, "timeout", "the instance did not answer in time; ask again")
        })
    }
}
