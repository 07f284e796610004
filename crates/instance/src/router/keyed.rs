//! Requests with an idempotency key.

use dispatch::Verdict;
use entry::{Header, Problem, Reply, Status};
use ledger::{Answer, Bounds, End, Field, Refusal};
use names::Attempt;
use rand::RngExt;
use stakker::{CX, call, fwd_to};

use super::Router;
use super::active::Phase;
use crate::claims::{Decision, Keyed};
use crate::problem;

/// Header that marks the answer of an earlier request.
const REPLAYED_HEADER: &str = "x-turmericrelay-replayed";

/// What the ledger keeps of a reply.
fn to_record(reply: &Reply) -> Answer {
    let Reply::Whole { status, headers, body } = reply else {
        return Answer { status: 0, headers: Vec::new(), body: None };
    };
    let headers = headers.iter();
    let headers =
        headers.map(|header| Field { name: header.name.clone(), value: header.value.clone() });
    let answer = Answer { status: status.0, headers: headers.collect(), body: Some(body.clone()) };
    answer.within(Bounds::default().answer_bytes)
}

/// The reply that a resend gets.
fn from_record(answer: Answer) -> Result<Reply, Problem> {
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
    /// Claims the key of a request before anything else.
    pub(super) fn claim(&mut self, cx: CX![], index: usize) {
        let fence = Attempt(rand::rng().random());
        let active = &mut self.active[index];
        let Some(ticket) = active.route.ticket.clone() else {
            return;
        };
        active.fence = Some(fence);
        active.is_first |= self.settings.voters.is_empty();
        active.phase = Phase::Claiming;
        let id = active.id;
        let decided = fwd_to!([cx], decided(id) as (Decision));
        let deadline = active.route.deadline;
        call!([self.claims], claim(Keyed { ticket, fence, deadline, decided }));
    }

    fn decided(&mut self, cx: CX![], id: names::Request, decision: Decision) {
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
            Decision::Replay(answer) => match from_record(answer) {
                Ok(reply) => {
                    self.metrics.count_refused("replayed");
                    self.active[index].reply.fwd(reply);
                    self.finish(index, Verdict::Answered);
                }
                Err(problem) => self.give_reply(index, problem),
            },
            Decision::Refuse(refusal) => self.give_reply(index, problem::of_refusal(refusal)),
            Decision::Deliver => {
                let phase = std::mem::replace(&mut self.active[index].phase, Phase::Placing);
                if let Phase::Recording(reply) = phase {
                    self.active[index].reply.fwd(reply);
                    self.finish(index, Verdict::Answered);
                }
            }
        }
    }

    /// Records the answer of a keyed request; the caller gets it afterwards.
    pub(super) fn record(&mut self, index: usize, fence: Attempt, reply: Reply) {
        let end = End::Answered(to_record(&reply));
        self.release(index);
        self.active[index].phase = Phase::Recording(reply);
        call!([self.claims], ended(fence, end));
    }

    /// Settles the claim of a request that is refused with `verdict`.
    pub(super) fn settle(&mut self, index: usize, verdict: Verdict) {
        let active = &self.active[index];
        let Some(fence) = active.fence else {
            return;
        };
        match (&active.phase, verdict) {
            (Phase::Claiming, _) => call!([self.claims], withdraw(fence)),
            (_, Verdict::NotRun) => call!([self.claims], ended(fence, End::NotRun)),
            _ => call!([self.claims], ended(fence, End::MayHaveRun)),
        }
    }
}
