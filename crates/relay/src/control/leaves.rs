//! Handles the leaves of upstreams.

use entry::{Problem, Status, Unsent};
use names::Request;
use stakker::{CX, at, call};

use super::callers::{Confirmation, Step};
use super::{Control, NOT_DURABLE_RETRY_AFTER};
use crate::feed::{Acknowledgement, Leaving, Refusal};

impl Control {
    /// Handles the leave of an upstream. A leave that names no run ends all runs so far. If it is read
    /// late, its upstream may have left elsewhere and started again, so that it takes effect only if
    /// its caller still waits.
    pub(super) fn receive_leave(
        &mut self,
        cx: CX![],
        request: Request,
        leaving: Leaving,
        acknowledgement: Acknowledgement,
    ) {
        if leaving.born.is_some() {
            call!([self.feed], withdraw(leaving, acknowledgement));
            return;
        }
        self.callers.add(request);
        self.confirm_leave(cx, request, (leaving, acknowledgement), Confirmation::default());
    }

    /// Passes a leave on once it is confirmed that its caller waits.
    fn confirm_leave(
        &mut self,
        cx: CX![],
        request: Request,
        (leaving, acknowledgement): (Leaving, Acknowledgement),
        confirmation: Confirmation,
    ) {
        match self.callers.next_step(cx.now(), request, confirmation) {
            Step::CheckAt(at, confirmation) => {
                let leave = (leaving, acknowledgement);
                at!(at, [cx], confirm_leave(request, leave, confirmation));
            }
            Step::Proceed => {
                self.callers.remove(request);
                call!([self.feed], withdraw(leaving, acknowledgement));
            }
            Step::Ignore => {
                let upstream = &leaving.upstream;
                log::info!("ignored a leave of upstream {upstream}, whose caller has left");
            }
        }
    }
}

/// Returns the answer to a leave that is not acknowledged.
pub(super) fn problem(refusal: Refusal, unsent: &Unsent) -> Problem {
    let problem = match refusal {
        Refusal::NotDurable => {
            let message = "the upstream gets no new requests, but too few control instances have \
                           stored that yet; send the request again, to another control instance";
            Problem::may_have_run(Status::UNAVAILABLE, "not_durable", message)
        }
        Refusal::Full => {
            let message = "too many leaves are kept that arrived before the announcement of their \
                           run, or that name no run; send the request again";
            Problem::not_run(unsent, Status::UNAVAILABLE, "too_many_leaves", message)
        }
    };
    problem.with_retry_after(NOT_DURABLE_RETRY_AFTER)
}
