//! Refuses requests whose upstreams are all in evacuated data centres.

use names::Service;
use stakker::CX;

use super::Forwarder;

impl Forwarder {
    /// Refuses the queued requests of `service`, which has no upstream outside of evacuated data
    /// centres.
    pub(super) fn refuse_evacuated(&mut self, cx: CX![], service: &Service) {
        let queue = &mut self.traffic(service).queue;
        let waiting = queue.items();
        // The end of a request serves the queue again, which has to be empty by then.
        waiting.iter().for_each(|id| queue.remove(id));
        if waiting.is_empty() {
            return;
        }
        for id in waiting {
            self.refuse_unplaced(cx, id);
        }
        self.update_queue_timer(cx);
    }
}
