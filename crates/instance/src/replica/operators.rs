//! Requests about the replicated log on the operators' port.

use std::time::Instant;

use operator::Response;
use stakker::{CX, Ret};
use state::ProposalOutcome;

use super::leases::{self, LeaseRequest};
use super::status::Status;
use super::{Part, Replica};
use crate::operators::PendingRequest;

impl Replica {
    /// Handles a request on the operators' port for a path under `/state`.
    pub(crate) fn handle_request(&mut self, cx: CX![], pending: PendingRequest) {
        match (pending.request.method.as_str(), pending.request.path.as_str()) {
            ("GET", "/state") => pending.respond(Response::json(200, &self.status())),
            ("GET", "/state/leases") => {
                let response = Response::json(200, &*self.leases.borrow());
                pending.respond(response);
            }
            ("GET", "/state/voters") => self.show_voters(cx, pending),
            ("POST", "/state/voters") => self.change_voters(cx, pending),
            ("POST", "/state/leases") => self.propose_lease(cx, pending),
            (method, path) => {
                let message = format!("{method} {path} does not exist");
                pending.respond(Response::error(404, "unknown_path", message));
            }
        }
    }

    fn propose_lease(&mut self, cx: CX![], pending: PendingRequest) {
        let mut tokens = self.settings.operator_tokens.values();
        let is_known = tokens.any(|token| Some(token) == pending.request.token.as_ref());
        if !is_known {
            pending.respond(Response::error(401, "unknown_token", "present an operator's token"));
            return;
        }
        match leases::parse(&pending.request.body) {
            LeaseRequest::Propose(command) => {
                let me = self.settings.instance.clone();
                let proposed = Ret::new(move |proposed: Option<ProposalOutcome>| {
                    pending.respond(leases::respond(&me, proposed));
                });
                self.propose(cx, Part::Lease, command, proposed);
            }
            LeaseRequest::Respond(response) => pending.respond(response),
        }
    }

    fn status(&self) -> Status {
        let now = Instant::now();
        let me = self.settings.instance.clone();
        match &self.node {
            Some(node) => Status::of_core(now, me, node.core()),
            None if self.storage.is_some() => Status::without_log(me, "opening", None),
            None => Status::without_log(me, "none", self.proposals.known_leader(now).cloned()),
        }
    }
}
