//! Transfer of cached context to the chosen upstream before the upstream is called.

use context::{MoveRequest, transfer_for_protocol};
use stakker::{CX, call, ret_some_to};
use upstream::Protocol;

use super::Router;
use super::active_request::{ActiveRequest, Phase};
use crate::placer::Permit;

impl ActiveRequest {
    /// Returns the context transfer that may speed up the first attempt at the upstream of
    /// `permit`.
    fn useful_transfer(&self, permit: &Permit) -> Option<MoveRequest> {
        let from = permit.context_source.clone()?;
        let is_first_attempt = self.attempts == 0 && self.route.context_tokens > 0;
        let transfer =
            transfer_for_protocol(Protocol::ChatCompletions).filter(|_| is_first_attempt)?;
        Some(MoveRequest {
            from,
            to: (permit.upstream.clone(), permit.address),
            transfer,
            prompt: self.route.body.clone(),
            tokens: self.route.context_tokens,
            deadline: self.route.deadline,
        })
    }
}

impl Router {
    /// Transfers the context of the request at `index` if a transfer may help, then calls the
    /// upstream of `permit`.
    pub(super) fn transfer_context(&mut self, cx: CX![], index: usize, permit: Permit) {
        let Some(move_request) = self.active[index].useful_transfer(&permit) else {
            return self.call_upstream(cx, index, permit);
        };
        let active = &mut self.active[index];
        active.phase = Phase::Preparing(permit);
        let id = active.id;
        let finished = ret_some_to!([cx], on_context_ready(id) as (()));
        call!([self.context_mover], start(id, move_request, finished));
    }

    fn on_context_ready(&mut self, cx: CX![], id: names::Request, _: ()) {
        let Some(index) = self.find(id) else {
            return;
        };
        let active = &mut self.active[index];
        match std::mem::replace(&mut active.phase, Phase::Placing) {
            Phase::Preparing(permit) => self.call_upstream(cx, index, permit),
            other => active.phase = other,
        }
    }
}
