//! Refusals, and the end of a connection.

use rand::RngExt;
use stakker::{CX, call, stop};

use super::{Connection, Phase};
use crate::reply::append_whole;
use crate::{Event, Header, Problem, Reply};

impl Connection {
    /// Drops the bytes that were read from a connection that closes.
    pub(super) fn drop_read(&mut self, cx: CX![]) {
        let dropped = self.stream.wr - self.stream.rd;
        self.stream.rd = self.stream.wr;
        self.droppable_bytes = self.droppable_bytes.saturating_sub(dropped);
        if self.droppable_bytes == 0 && matches!(self.phase, Phase::Lingering) {
            self.stop(cx);
        }
    }

    /// Tells the handler about an unanswered request, unless it does not know the request yet, and
    /// stops the actor.
    pub(super) fn disconnect(&mut self, cx: CX![]) {
        let is_unknown = self.arrived.take().is_some();
        if let Phase::Answering { id, .. } = self.phase
            && !is_unknown
        {
            self.handler.fwd(Event::Left { request: id });
        }
        self.stop(cx);
    }

    pub(super) fn stop(&mut self, cx: CX![]) {
        self.phase = Phase::Closed;
        stop!(cx);
    }

    /// Waits until the caller closes the connection, unless it must have received all output.
    pub(super) fn linger(&mut self, cx: CX![]) {
        if !self.is_read_open || self.droppable_bytes == 0 || self.linger_until <= cx.now() {
            self.stop(cx);
            return;
        }
        self.phase = Phase::Lingering;
        self.set_deadline(cx, self.linger_until);
        self.read(cx);
    }

    /// Closes the connection without the end of the answer, so that the caller can tell that the
    /// answer is incomplete.
    pub(super) fn truncate(&mut self, cx: CX![]) {
        self.phase = Phase::Closing;
        self.ends_output = true;
        self.output.release_front();
        self.flush(cx);
    }

    /// Answers with `problem` and closes the connection.
    pub(super) fn refuse(&mut self, cx: CX![], problem: Problem) {
        self.refuse_for(cx, "request", problem);
    }

    /// Answers with `problem` and closes the connection. `reason` is for the counters. The answer is
    /// sent in a later step of the event loop, once the handler has counted the refusal: a caller that
    /// has the answer finds it in the metrics.
    pub(super) fn refuse_for(&mut self, cx: CX![], reason: &'static str, problem: Problem) {
        self.handler.fwd(Event::Refused { reason });
        let mut answer = Vec::new();
        if let Reply::Whole { status, headers, body } = self.form.refusal(problem) {
            let id = names::Request(rand::rng().random());
            let headers = add_connection_headers(headers, id, self.form.request_id_header(), false);
            append_whole(status, &headers, &body, &mut answer);
        }
        self.phase = Phase::Refusing;
        self.output.release_front();
        self.discard_input();
        call!([cx], send_refusal(answer));
    }

    /// Sends the answer to a request that was refused, and closes the connection.
    fn send_refusal(&mut self, cx: CX![], answer: Vec<u8>) {
        if !matches!(self.phase, Phase::Refusing) {
            return;
        }
        self.stream.out.extend_from_slice(&answer);
        self.close(cx);
        self.read(cx);
    }

    /// Closes the connection after the remaining output has been sent.
    pub(super) fn close(&mut self, cx: CX![]) {
        self.phase = Phase::Closing;
        self.discard_input();
        self.ends_output = true;
        let deadline = cx.now() + self.bounds.get().unread;
        self.set_deadline(cx, deadline);
        self.flush(cx);
    }

    /// Closes the connection immediately and discards the remaining output.
    pub(super) fn abort(&mut self, cx: CX![], reason: &'static str) {
        self.handler.fwd(Event::Refused { reason });
        self.disconnect(cx);
    }
}

/// Adds the connection-level headers: the request id, and `connection: close` where it applies.
pub(super) fn add_connection_headers(
    mut headers: Vec<Header>,
    id: names::Request,
    id_header: Option<&str>,
    keeps_alive: bool,
) -> Vec<Header> {
    if let Some(name) = id_header {
        headers.push(Header::new(name, id.to_string()));
    }
    if !keeps_alive {
        headers.push(Header::new("connection", "close"));
    }
    headers
}
