//! HTTP requests from upstreams and operators that the placer handles.

use operator::Response;
use serde_json::json;
use stakker::CX;
use upstream::{Announcement, Load};

use super::Placer;
use crate::listing::UpstreamListing;
use crate::operators::PendingRequest;

impl Placer {
    /// Handles an announcement from an upstream.
    pub(crate) fn announce(&mut self, cx: CX![], pending: PendingRequest) {
        match Announcement::try_from(pending.request.body.as_slice()) {
            Ok(announcement) if announcement.data_centre != self.settings.data_centre => {
                let message = format!(
                    "upstream \"{}\" is in data centre \"{}\", but this instance is in \"{}\"; \
                     announce the upstream to an instance of its own data centre",
                    announcement.upstream, announcement.data_centre, self.settings.data_centre
                );
                pending.respond(Response::error(400, "other_data_centre", message));
            }
            Ok(announcement) => {
                let (change, actions) = self.directory.announce(cx.now(), announcement);
                self.perform(cx, actions);
                pending.respond(Response::json(200, &json!({ "change": change.to_string() })));
            }
            Err(error) => {
                pending.respond(Response::error(400, "invalid_announcement", error.to_string()));
            }
        }
    }

    /// Handles a load report from an upstream.
    pub(crate) fn report(&mut self, _: CX![], pending: PendingRequest) {
        let reported = Load::try_from(pending.request.body.as_slice())
            .and_then(|load| self.directory.registry_mut().report(load));
        match reported {
            Ok(()) => pending.respond(Response::json(200, &json!({}))),
            Err(error @ upstream::Error::Unknown { .. }) => {
                pending.respond(
                    Response::error(400, "invalid_load", error.to_string()).as_temporary(),
                );
            }
            Err(error) => pending.respond(Response::error(400, "invalid_load", error.to_string())),
        }
    }

    /// Lists the known upstreams.
    pub(crate) fn list(&mut self, _: CX![], pending: PendingRequest) {
        let entries = self.directory.registry().iter();
        let upstreams: Vec<UpstreamListing<'_>> = entries
            .map(|entry| {
                let upstream = &entry.announcement.upstream;
                let in_flight =
                    self.node.held_permits().filter(|(_, target)| *target == upstream).count();
                UpstreamListing::new(entry, in_flight, &self.declarations)
                    .with_owner(self.owner(upstream))
            })
            .collect();
        pending.respond(Response::json(200, &upstreams));
    }
}
