//! Actor that passes requests of the operators' port to the threads that handle them.

use std::sync::Arc;
use std::time::Duration;

use entry::{Bounds, Event, Header, Hold, Problem, Reply, Status};
use eventloop::{Sender, mailbox};
use names::Request;
use operator::{Handler, Response, Workers};
use settings::Settings;
use stakker::{CX, Fwd, fail, fwd_to};
use telemetry::Metrics;

/// Maximum size of the body of an operators' request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Number of copies of a request body that exist while the request is handled: that of the request,
/// and its parsed form.
const BODY_COPIES: usize = 2;

/// Time after which a request is sent again that found all threads in use.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request whose response is not ready.
struct Pending {
    id: Request,
    reply: Fwd<Reply>,
    _hold: Hold,
}

/// Owns the requests of the operators' port that have no response yet.
pub(crate) struct OperatorPort {
    workers: Workers,
    responses: Sender<(Request, Response)>,
    /// Sorted by id.
    pending: Vec<Pending>,
    metrics: Arc<Metrics>,
}

/// Returns the limits of connections to the operators' port.
pub(crate) fn operator_bounds(settings: &Settings, bounds: Bounds) -> Bounds {
    let incoming = settings.limits.incoming.as_bytes().max(MAX_BODY_BYTES + bounds.head_bytes);
    Bounds {
        body_bytes: MAX_BODY_BYTES,
        body_copies: BODY_COPIES,
        incoming_bytes: incoming,
        ..bounds
    }
}

impl OperatorPort {
    pub(crate) fn init(
        cx: CX![],
        handler: Arc<dyn Handler>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let responses = fwd_to!([cx], respond() as ((Request, Response)));
        match Workers::start(&handler) {
            Ok(workers) => {
                let responses = mailbox(cx, responses);
                Some(Self { workers, responses, pending: Vec::new(), metrics })
            }
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    /// Handles an event on a connection.
    pub(crate) fn handle(&mut self, _: CX![], event: Event) {
        match event {
            Event::Arrived { request, unsent, hold, reply } => {
                let id = request.id;
                let responses = self.responses.clone();
                let respond = move |response| responses.send((id, response));
                if !self.workers.handle(operator_request(request), respond) {
                    self.metrics.count_refused("operator_overloaded");
                    let message = "too many operators' requests wait; send the request again";
                    let problem =
                        Problem::not_run(&unsent, Status::UNAVAILABLE, "overloaded", message);
                    reply.fwd(problem.with_retry_after(BUSY_RETRY_AFTER).into_reply());
                } else if let Err(index) = self.find(id) {
                    self.pending.insert(index, Pending { id, reply, _hold: hold });
                }
            }
            Event::Left { request } => drop(self.take(request)),
            Event::Refused { reason } => self.metrics.count_refused(reason),
        }
    }

    fn find(&self, id: Request) -> Result<usize, usize> {
        self.pending.binary_search_by_key(&id, |pending| pending.id)
    }

    fn take(&mut self, id: Request) -> Option<Pending> {
        let index = self.find(id).ok()?;
        Some(self.pending.remove(index))
    }

    /// Sends a response to the client, unless the client has left.
    fn respond(&mut self, _: CX![], (id, response): (Request, Response)) {
        let Some(Pending { reply, .. }) = self.take(id) else {
            return;
        };
        let mut headers = vec![Header::new("content-type", response.content_type)];
        if let Some(delay) = response.retry_after {
            headers.push(Header::new("retry-after", delay.as_secs().max(1).to_string()));
        }
        reply.fwd(Reply::Whole { status: Status(response.status), headers, body: response.body });
    }
}

fn operator_request(request: entry::Request) -> operator::Request {
    let token = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let token = token.map(str::to_string);
    let (path, query) = match request.path.split_once('?') {
        Some((path, query)) => (path.to_string(), query.to_string()),
        None => (request.path, String::new()),
    };
    let method: &str = request.method.into();
    operator::Request { method: method.to_string(), path, query, token, body: request.body }
}
