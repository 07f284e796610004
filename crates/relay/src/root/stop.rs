//! Graceful shutdown of an instance.

use std::time::{Duration, Instant};

use forward::Grace;
use stakker::{CX, after, at, call, fwd_to, stop};
use telemetry::Event as LogEvent;

use super::Root;

/// Delay between the announcement of the leave and the end of the instance, so that the
/// announcement reaches the peers.
const LEAVE_DELAY: Duration = Duration::from_millis(200);

/// Time for which a stopping entry instance continues to accept requests, so that load balancers
/// that probe every second have seen twice that the instance is not ready.
const WIND_DOWN_TIME: Duration = Duration::from_millis(3500);

/// Time for which a stopping control instance continues to run, so that leadership is transferred
/// and responses to operators are completed.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Fraction of the time limit of a graceful shutdown after which the process ends even if callers
/// have not read all output. The process is killed at the time limit.
const EXIT_FRACTION: f64 = 0.97;

/// Time limits for the end of the process.
pub(super) struct Exit {
    /// Time up to which output is sent to callers.
    latest: Instant,
    /// Time up to which the announcement of the leave is sent; `None` while requests may run.
    earliest: Option<Instant>,
}

impl Root {
    /// Begins the graceful shutdown after a signal that was received at `received_at`.
    pub(super) fn begin_stop(&mut self, cx: CX![], received_at: Instant) {
        if self.exit.is_some() {
            return;
        }
        LogEvent::Stopping { is_entry: self.entry.is_some() }.write();
        let now = cx.now();
        call!([self.members], drain());
        let (end, latest) = match &self.entry {
            Some(entry) => {
                call!([entry.readiness], stop());
                let earliest = self.heartbeat.earliest_sending(received_at, now);
                let limit = self.settings.timing.drain.as_duration();
                let grace = Grace::new(earliest, received_at, limit);
                call!([entry.server], wind_down());
                call!([entry.forwarder], wind_down(grace));
                after!(WIND_DOWN_TIME, [cx], drain_callers());
                (grace.end, grace.begin + limit.mul_f64(EXIT_FRACTION))
            }
            None => (now + HANDOVER_TIME, now + HANDOVER_TIME),
        };
        self.exit = Some(Exit { latest, earliest: None });
        if let Some(control) = &self.control {
            call!([control.replica], retire());
            call!([control.control], redirect_reads());
        }
        at!(end, [cx], end_requests());
    }

    /// Closes callers' connections as they become idle, and stops once all are closed.
    fn drain_callers(&mut self, cx: CX![]) {
        let Some(entry) = &self.entry else {
            return;
        };
        let drained = fwd_to!([cx], callers_drained() as (()));
        call!([entry.server], drain(drained));
    }

    /// Ends the requests that still run and announces the leave. The process ends once the
    /// announcement and all output to callers are sent, or shortly before the time limit.
    fn end_requests(&mut self, cx: CX![]) {
        let Some(exit) = &mut self.exit else {
            return;
        };
        if exit.earliest.is_some() {
            return;
        }
        let earliest = cx.now() + LEAVE_DELAY;
        exit.earliest = Some(earliest);
        let latest = exit.latest.max(earliest);
        if let Some(entry) = &self.entry {
            call!([entry.forwarder], end_requests());
        }
        call!([self.members], leave());
        at!(latest, [cx], end());
        self.drain_callers(cx);
    }

    /// Handles that all connections of callers are closed.
    fn callers_drained(&mut self, cx: CX![], _: ()) {
        self.end_requests(cx);
        if let Some(earliest) = self.exit.as_ref().and_then(|exit| exit.earliest) {
            at!(earliest, [cx], end());
        }
    }

    fn end(&mut self, cx: CX![]) {
        LogEvent::Stopped.write();
        stop!(cx);
    }
}
