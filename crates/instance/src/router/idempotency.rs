//! Handling of requests with an idempotency key.

use dispatch::Verdict;
use entry::{Header, Problem, Reply, Status};
use ledger::{Bounds, Field, Refusal, StoredResponse, UpstreamOutcome};
use names::Attempt;
use rand::RngExt;
use stakker::{CX, call, fwd_to};

use super::Router;
use super::active_request::Phase;
use crate::claims::{ClaimRequest, Decision};
use crate::problem;

/// Header that marks the stored response of an earlier request.
const REPLAYED_HEADER: &str = "x-turmericrelay-replayed";

/// Converts a reply to the form that the ledger stores.
fn to_stored_answer(reply: &Reply) -> StoredResponse {
    let Reply::Whole { status, headers, body } = reply else {
        return StoredResponse { status: 0, headers: Vec::new(), body: None };
    };
    let headers = headers.iter();
    let headers =
        headers.map(|header| Field { name: header.name.clone(), value: header.value.clone() });
    let answer =
        StoredResponse { status: status.0, headers: headers.collect(), body: Some(body.clone()) };
    answer.without_body_if_over(Bounds::default().answer_bytes)
}

/// Returns the reply to a resend from the stored response.
fn from_stored_answer(answer: StoredResponse) -> Result<Reply, Problem> {
    let Some(body) = answer.body else {
        return Err(problem::answer_not_kept(answer.status));
    };
    let headers = answer.headers.into_iter();
    let mut headers: Vec<Header> =
        headers.map(|field| Header { name: field.name, value: field.value }).collect();
    headers.push(Header::new(REPLAYED_HEADER, "true"));
    Ok(Reply::Whole { status: Status(answer.status), headers, body })
}

impl Router {
    /// Claims the idempotency key of a request before the request is placed.
    pub(super) fn claim(&mut self, cx: CX![], index: usize) {
        let fence = Attempt(rand::rng().random());
        let active = &mut self.active[index];
        let Some(identity) = active.route.claim_identity.clone() else {
            return;
        };
        active.fence = Some(fence);
        active.is_first |= self.settings.voters.is_empty();
        active.phase = Phase::Claiming;
        let id = active.id;
        let decision_listener = fwd_to!([cx], on_decision(id) as (Decision));
        let deadline = active.route.deadline;
        call!([self.claims], claim(ClaimRequest { identity, fence, deadline, decision_listener }));
    }

    fn on_decision(&mut self, cx: CX![], id: names::Request, decision: Decision) {
        let Some(index) = self.find(id) else {
            return;
        };
        let active = &mut self.active[index];
        active.is_first |= !matches!(decision, Decision::Refuse(Refusal::NoQuorum));
        match decision {
            Decision::Run => {
                self.active[index].phase = Phase::Placing;
                self.check_limit(cx, id);
            }
            Decision::Replay(answer) => match from_stored_answer(answer) {
                Ok(reply) => {
                    self.metrics.count_refused("replayed");
                    self.active[index].reply.fwd(reply);
                    self.finish(index, Verdict::Answered);
                }
                Err(problem) => self.reply_with_problem(index, problem),
            },
            Decision::Refuse(refusal) => {
                let problem = problem::of_refusal(self.active[index].unsent(), refusal);
                self.reply_with_problem(index, problem);
            }
            Decision::Deliver => {
                let phase = std::mem::replace(&mut self.active[index].phase, Phase::Placing);
                if let Phase::Recording(reply) = phase {
                    self.active[index].reply.fwd(reply);
                    self.finish(index, Verdict::Answered);
                }
            }
        }
    }

    /// Records the response to a request with an idempotency key in the ledger. The caller receives
    /// the response after it is recorded.
    pub(super) fn record(&mut self, index: usize, fence: Attempt, reply: Reply) {
        let outcome = UpstreamOutcome::Answered(to_stored_answer(&reply));
        self.release(index);
        self.active[index].phase = Phase::Recording(reply);
        call!([self.claims], upstream_ended(fence, outcome));
    }

    /// Reports the outcome of a request that is refused to its claim.
    pub(super) fn settle_claim(&mut self, index: usize) {
        let active = &self.active[index];
        let Some(fence) = active.fence else {
            return;
        };
        match (&active.phase, &active.unsent) {
            (Phase::Claiming, _) => call!([self.claims], withdraw(fence)),
            (_, Some(_)) => {
                call!([self.claims], upstream_ended(fence, UpstreamOutcome::NotRun))
            }
            (_, None) => {
                call!([self.claims], upstream_ended(fence, UpstreamOutcome::MayHaveRun))
            }
        }
    }
}
