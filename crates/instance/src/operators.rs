//! Passes requests from the threads of the operators' port to the event loop and waits for the
//! responses.

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use declare::Document;
use eventloop::Sender;
use operator::{Handler, Request, Response};
use telemetry::Metrics;

use crate::config::{self, Access};

/// Maximum time for the event loop to respond to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// An operator request that waits for its response from the event loop.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// Declarations from the body. The threads of the port parse them, because parsing takes long
    /// and would block the event loop.
    pub(crate) document: Option<Document>,
    response_sender: SyncSender<Response>,
}

impl PendingRequest {
    /// Sends the response to the thread that handles the request.
    pub(crate) fn respond(self, response: Response) {
        if self.response_sender.send(response).is_err() {
            log::debug!(
                "an operator request timed out before its response was ready; response dropped"
            );
        }
    }
}

/// Handles requests on the threads of the operators' port.
pub(crate) struct OperatorHandler {
    requests: Sender<PendingRequest>,
    metrics: Arc<Metrics>,
    access: Access,
}

impl OperatorHandler {
    pub(crate) fn new(
        requests: Sender<PendingRequest>,
        metrics: Arc<Metrics>,
        access: Access,
    ) -> Self {
        Self { requests, metrics, access }
    }

    /// Returns the declarations from the body of a request whose path takes declarations, once the
    /// operator's access has been checked.
    fn read_document(&self, request: &Request) -> Result<Option<Document>, Response> {
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

impl Handler for OperatorHandler {
    fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/healthz" => return Response::text(200, "ok\n"),
            "/metrics" => return Response::text(200, self.metrics.encode()),
            _ => {}
        }
        let document = match self.read_document(&request) {
            Ok(document) => document,
            Err(response) => return response,
        };
        let (response_sender, response_receiver) = sync_channel(1);
        self.requests.send(PendingRequest { request, document, response_sender });
        response_receiver.recv_timeout(RESPONSE_TIMEOUT).unwrap_or_else(|_| {
            Response::error(504, "timeout", "the instance did not answer in time; ask again")
        })
    }
}
