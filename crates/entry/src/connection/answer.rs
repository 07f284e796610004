//! Answers on a connection.

use stakker::CX;

use super::closing::add_connection_headers;
use super::{Connection, Phase};
use crate::collector::Collection;
use crate::framing::{Framing, append_framed};
use crate::reply::{append_last_chunk, append_start, append_start_unframed, append_whole};
use crate::{Event, Problem, Reply, Status};

/// Bytes by which a chunk is larger than the part that it carries: its size and two line ends.
const CHUNK_OVERHEAD_BYTES: usize = 32;

impl Connection {
    /// Handles part of the answer to the request `id`. Parts for any other request are dropped.
    pub(super) fn answer(&mut self, cx: CX![], id: names::Request, reply: Reply) {
        let Phase::Answering { id: current, collector, .. } = &mut self.phase else {
            return;
        };
        if *current != id {
            return;
        }
        let collection = match collector {
            Some(collector) => collector.take(reply),
            None => Collection::Send(reply),
        };
        match collection {
            Collection::Send(reply) => self.send(cx, id, reply),
            Collection::Wait if self.reserve_collected() => {}
            Collection::Wait => self.end_unread(cx),
            Collection::TooLarge => {
                self.handler.fwd(Event::Left { request: id });
                self.refuse(cx, too_large_to_collect());
            }
        }
    }

    /// Reserves the bytes of an answer that is being collected. Returns false if the answers of all
    /// connections together exceed the limit.
    pub(super) fn reserve_collected(&mut self) -> bool {
        let Phase::Answering { collector: Some(collector), .. } = &self.phase else {
            return true;
        };
        self.output.grow(collector.collected_bytes(), dispatch::CALL_BUFFER_BYTES)
    }

    /// Ends the answer in progress if it is the one that another connection has displaced.
    pub(super) fn displaced(&mut self, cx: CX![], (): ()) {
        if self.output.is_displaced() {
            self.end_unread(cx);
        }
    }

    /// Ends the answer in progress, of which more is unread than of others, because the limit of all
    /// connections together is reached.
    pub(super) fn end_unread(&mut self, cx: CX![]) {
        match self.phase {
            Phase::Answering { id, collector: Some(_), .. } => {
                self.handler.fwd(Event::Left { request: id });
                self.refuse(cx, too_many_unread());
            }
            // An answer that was cut keeps its unsent output while the connection closes.
            Phase::Answering { .. } | Phase::Closing => self.abort(cx, "unread-total"),
            _ => {}
        }
    }

    /// Writes part of the answer in progress, which is that to the request `id`.
    pub(super) fn send(&mut self, cx: CX![], id: names::Request, reply: Reply) {
        let Phase::Answering { keeps_alive, framing, .. } = &mut self.phase else {
            return;
        };
        // Once the head is sent, the caller may send a request that relies on its headers.
        if !matches!(reply, Reply::Part(_) | Reply::End | Reply::Cut) {
            *keeps_alive &= !self.is_draining;
        }
        let id_header = self.form.request_id_header();
        let was_empty = self.stream.out.is_empty();
        let part_bytes = match &reply {
            Reply::Part(part) => part.len() + CHUNK_OVERHEAD_BYTES,
            _ => CHUNK_OVERHEAD_BYTES,
        };
        let out = self.queue.next_buffer(&mut self.stream.out, part_bytes);
        let finished = match reply {
            Reply::Whole { status, headers, body } => {
                append_whole(
                    status,
                    &add_connection_headers(headers, id, id_header, *keeps_alive),
                    &body,
                    out,
                );
                if matches!(framing, Framing::HeadOnly) {
                    out.truncate(out.len() - body.len());
                }
                true
            }
            Reply::Start { status, headers, length } => {
                if !matches!(framing, Framing::HeadOnly) {
                    *framing = length.map_or(Framing::Chunks, Framing::Length);
                }
                let headers = add_connection_headers(headers, id, id_header, *keeps_alive);
                append_start(status, &headers, length, out);
                false
            }
            Reply::StartUnframed { status, headers } => {
                *keeps_alive = false;
                if !matches!(framing, Framing::HeadOnly) {
                    *framing = Framing::UntilClose;
                }
                let headers = add_connection_headers(headers, id, id_header, *keeps_alive);
                append_start_unframed(status, &headers, out);
                false
            }
            Reply::Part(part) => {
                append_framed(framing, &part, out);
                false
            }
            Reply::End if matches!(framing, Framing::Length(left) if *left > 0) => {
                self.truncate(cx);
                return;
            }
            Reply::End => {
                if matches!(framing, Framing::Chunks) {
                    append_last_chunk(out);
                }
                true
            }
            Reply::Cut => {
                self.truncate(cx);
                return;
            }
        };
        if was_empty {
            let deadline = cx.now() + self.bounds.get().unread;
            self.set_deadline(cx, deadline);
        }
        let limit = self.bounds.get().unread_bytes;
        if !finished && limit.is_some_and(|limit| self.unsent_bytes() > limit) {
            self.abort(cx, "unread");
            return;
        }
        if !self.flush(cx) {
            return;
        }
        // The call to the upstream ends with the answer.
        let front_bytes = if finished { 0 } else { dispatch::CALL_BUFFER_BYTES };
        if !self.output.grow(self.output_memory(), front_bytes) {
            self.end_unread(cx);
        } else if finished {
            self.finish(cx);
        }
    }

    /// Prepares for the next request after a complete answer, or starts to close the connection.
    pub(super) fn finish(&mut self, cx: CX![]) {
        self.output.settle();
        let keeps_alive = matches!(self.phase, Phase::Answering { keeps_alive: true, .. });
        if !keeps_alive || (self.is_draining && self.received.is_empty()) {
            self.phase = Phase::Closing;
            self.ends_output = true;
            self.flush(cx);
            return;
        }
        self.phase = Phase::Receiving { body: None };
        self.release_input();
        if self.stream.out.is_empty() {
            self.read_next(cx);
        }
    }
}

/// Refusal of an answer that cannot be collected because other callers do not read theirs.
fn too_many_unread() -> Problem {
    let message = "too many answers wait for their callers to read them; use HTTP/1.1";
    Problem::may_have_run(Status::BAD_GATEWAY, "too_many_unread", message)
}

/// Refusal of an answer that is too large to be collected.
fn too_large_to_collect() -> Problem {
    let message = "the answer is too large for a caller that reads no chunks; use HTTP/1.1";
    Problem::may_have_run(Status::BAD_GATEWAY, "answer_too_large", message)
}
