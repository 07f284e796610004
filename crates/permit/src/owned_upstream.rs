//! The permits and the queue of one owned upstream.

use std::time::{Duration, Instant};

use admission::{AdmissionQueue, AdmissionRequest, Decision, QueueAction, RequestId, Tokens};
use names::{Instance, Upstream};

use crate::limits::{DecisionInputs, Limits, PermitIds, Reply, Usage};
use crate::watch::Watchers;
use crate::{InFlight, ObservedLoad, Outcome, PermitId, PermitRequest, Pool};

/// Time between two claims of an upstream that is being taken over.
const CLAIM_PERIOD: Duration = Duration::from_millis(200);

/// Time that members have to report before the owner starts to grant permits with a reduced share.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a claim by another instance reduces the share.
const CONTEST_DURATION: Duration = Duration::from_secs(1);

/// Age from which a permit that its holder does not report is reclaimed in any case.
const UNREPORTED_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which permits still count after their holder left the membership.
const LOST_HOLDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the limit is rounded down after the former owner left the membership.
const FORMER_OWNER_TIMEOUT: Duration = Duration::from_secs(30);

/// Divisor of the limit while two instances may own the upstream.
const REDUCED_SHARE_DIVISOR: u32 = 2;

#[derive(Debug)]
struct PermitEntry {
    id: PermitId,
    holder: Instance,
    /// Number of the permit request and its id in the admission queue; `None` for a permit that
    /// another owner granted.
    request: Option<(u64, RequestId)>,
    reclaim_at: Instant,
    /// Time at which the permit stops to count because its holder left the membership. The holder
    /// may still be calling until then.
    expires_at: Option<Instant>,
}

#[derive(Debug)]
struct QueuedRequest {
    request_id: RequestId,
    requester: Instance,
    number: u64,
    pool: Pool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for reports. Grants no permits before `reduced_from`, and a reduced share after it.
    TakingOver { reduced_from: Instant },
    /// Grants permits up to the limit.
    Settled,
}

/// State that an owner keeps about one upstream.
pub(crate) struct OwnedUpstream {
    pub(crate) upstream: Upstream,
    queue: Box<dyn AdmissionQueue>,
    granted: Vec<PermitEntry>,
    queued: Vec<QueuedRequest>,
    pub(crate) watchers: Watchers,
    phase: Phase,
    /// Members that did not report yet, or whose view has a different owner.
    unreported: Vec<Instance>,
    next_claim: Instant,
    contested_until: Option<Instant>,
    /// Time until which a former owner that left the membership may still grant permits.
    inherited_until: Option<Instant>,
    /// Last computed maximum of requests in flight under the load bound.
    bound: u32,
}

impl OwnedUpstream {
    pub(crate) fn new(
        now: Instant,
        upstream: Upstream,
        queue: Box<dyn AdmissionQueue>,
        members: &[Instance],
    ) -> Self {
        let mut owned = Self {
            upstream,
            queue,
            granted: Vec::new(),
            queued: Vec::new(),
            watchers: Watchers::default(),
            phase: Phase::Settled,
            unreported: Vec::new(),
            next_claim: now,
            contested_until: None,
            inherited_until: None,
            bound: 0,
        };
        owned.take_over(now, members);
        owned
    }

    /// Marks the upstream as inherited from an owner that left the membership but may be alive.
    pub(crate) fn inherited(self, now: Instant) -> Self {
        Self { inherited_until: Some(now + FORMER_OWNER_TIMEOUT), ..self }
    }

    /// Returns whether a former owner that left the membership may still grant permits.
    pub(crate) fn is_inherited(&self, now: Instant) -> bool {
        self.inherited_until.is_some_and(|until| now < until)
    }

    /// Starts a takeover: asks all `members` to report the permits that they hold, and grants
    /// none until they have reported or [`CLAIM_TIMEOUT`] has passed.
    pub(crate) fn take_over(&mut self, now: Instant, members: &[Instance]) {
        self.phase = Phase::TakingOver { reduced_from: now + CLAIM_TIMEOUT };
        self.unreported = members.to_vec();
        self.next_claim = now;
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.granted.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests in flight. Those of holders that left the membership or are suspected
    /// count as uncertain.
    pub(crate) fn load(&self, suspected: &[Instance]) -> InFlight {
        let is_certain = |permit: &&PermitEntry| {
            permit.expires_at.is_none() && !suspected.contains(&permit.holder)
        };
        let certain = self.granted.iter().filter(is_certain).count();
        let certain = u32::try_from(certain).unwrap_or(u32::MAX);
        InFlight { certain, uncertain: self.in_flight() - certain }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Returns the usage of the upstream, for operators.
    pub(crate) fn usage(&self) -> Usage<'_> {
        let (in_flight, waiting) = (self.in_flight(), self.waiting());
        Usage { upstream: &self.upstream, in_flight, bound: self.bound, waiting }
    }

    /// Returns the pool of the request that has been queued the longest.
    pub(crate) fn queue_pool(&self) -> Option<&Pool> {
        self.queued.first().map(|queued| &queued.pool)
    }

    /// Returns the members to send a claim to; empty if no claim is due.
    pub(crate) fn due_claims(&mut self, now: Instant) -> Vec<Instance> {
        if self.unreported.is_empty() || now < self.next_claim {
            return Vec::new();
        }
        self.next_claim = now + CLAIM_PERIOD;
        self.unreported.clone()
    }

    /// Removes the queued requests of instances that left the membership. Their permits count for
    /// [`LOST_HOLDER_TIMEOUT`] more, since such an instance may still be calling.
    pub(crate) fn retain_members(&mut self, now: Instant, members: &[Instance]) {
        self.unreported.retain(|member| members.contains(member));
        for permit in &mut self.granted {
            let is_member = members.contains(&permit.holder);
            let expires_at = permit.expires_at.unwrap_or(now + LOST_HOLDER_TIMEOUT);
            permit.expires_at = (!is_member).then_some(expires_at);
        }
        for queued in self.queued.extract_if(.., |request| !members.contains(&request.requester)) {
            self.queue.withdraw(queued.request_id);
        }
        self.settle();
    }

    /// Reclaims permits whose holder left the membership long enough ago.
    pub(crate) fn reclaim_expired(&mut self, now: Instant) {
        self.release_where(now, |permit| {
            permit.expires_at.is_some_and(|expires_at| expires_at <= now)
        });
    }

    /// Reclaims the permits of a holder that is known to have ended.
    pub(crate) fn reclaim_from(&mut self, now: Instant, holder: &Instance) {
        self.release_where(now, |permit| permit.holder == *holder);
    }

    fn release_where<F>(&mut self, now: Instant, is_reclaimed: F)
    where
        F: Fn(&PermitEntry) -> bool,
    {
        let reclaimed =
            self.granted.iter().filter(|permit| is_reclaimed(permit)).map(|permit| permit.id);
        for id in reclaimed.collect::<Vec<_>>() {
            self.release(now, id, Tokens(0));
        }
    }

    /// Ends the takeover once all members have reported.
    fn settle(&mut self) {
        if self.unreported.is_empty() {
            self.phase = Phase::Settled;
        }
    }

    /// Applies a report of `holder`: counts permits that are not known yet. If the holder `agrees`
    /// on the owner, the takeover no longer waits for its report.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        holder: &Instance,
        permits: &[PermitId],
        agrees: bool,
    ) {
        for id in permits {
            if !self.granted.iter().any(|permit| permit.id == *id) {
                self.grant(now, *id, holder.clone(), None);
            }
        }
        if agrees {
            self.unreported.retain(|member| member != holder);
            self.settle();
        }
    }

    /// Applies a complete report of `holder`. Reclaims permits that it does not contain although
    /// the holder received them or newer ones, or although they are old.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        holder: &Instance,
        permits: &[PermitId],
        is_known_to_holder: impl Fn(PermitId) -> bool,
    ) {
        self.apply_report(now, holder, permits, false);
        self.release_where(now, |permit| {
            permit.holder == *holder
                && !permits.contains(&permit.id)
                && (is_known_to_holder(permit.id) || permit.reclaim_at <= now)
        });
    }

    /// Records that another instance claims the upstream.
    pub(crate) fn contest(&mut self, now: Instant) {
        self.contested_until = Some(now + CONTEST_DURATION);
    }

    /// Returns whether this instance is the only one that counts the permits of the upstream.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.phase == Phase::Settled && !self.is_contested(now)
    }

    fn is_contested(&self, now: Instant) -> bool {
        self.contested_until.is_some_and(|until| now < until)
    }

    /// Returns the part of `limit` that this owner may use now.
    fn share(&self, now: Instant, limit: u32) -> u32 {
        match self.phase {
            Phase::TakingOver { reduced_from } if now < reduced_from => 0,
            Phase::TakingOver { .. } => limit / REDUCED_SHARE_DIVISOR,
            Phase::Settled if self.is_contested(now) => limit / REDUCED_SHARE_DIVISOR,
            Phase::Settled => limit,
        }
    }

    /// Returns how many more requests may run, whether or not the uncertain requests are still
    /// running.
    fn headroom(&self, now: Instant, limits: Limits, suspected: &[Instance]) -> u32 {
        let load = self.load(suspected);
        let certain = self.share(now, limits.certain).saturating_sub(load.certain);
        let all = self.share(now, limits.all).saturating_sub(load.all());
        certain.min(all)
    }

    /// Applies the load bound to the queue. Returns how many more requests may run.
    pub(crate) fn set_limits(
        &mut self,
        now: Instant,
        limits: Limits,
        suspected: &[Instance],
    ) -> u32 {
        let headroom = self.headroom(now, limits, suspected);
        self.bound = self.share(now, limits.certain);
        self.queue.set_max_running(self.queue.running() + headroom);
        headroom
    }

    /// Decides on a permit request.
    pub(crate) fn request(
        &mut self,
        now: Instant,
        requester: &Instance,
        request: PermitRequest,
        inputs: DecisionInputs<'_>,
    ) -> Outcome {
        let DecisionInputs { ids, limits, slots, suspected } = inputs;
        if matches!(self.phase, Phase::TakingOver { reduced_from } if now < reduced_from) {
            return Outcome::NotOwner;
        }
        let headroom = self.set_limits(now, limits, suspected);
        let has_capacity = headroom > 0 && self.queue.waiting() == 0;
        if !request.may_wait && !has_capacity {
            let load = ObservedLoad { load: self.load(suspected), slots: slots.into() };
            return Outcome::Full { load, waiting: self.queue.waiting_ahead(request.rank) };
        }
        let PermitRequest { number, pool, .. } = request;
        let request_id = RequestId(ids.next().0);
        let admission_request = AdmissionRequest {
            request_id,
            account: request.account,
            weight: request.weight,
            kind: request.kind,
            rank: request.rank,
            least_share_percent: request.least_share_percent,
            deadline: now + Duration::from_millis(request.remaining_millis),
            cost: request.cost,
        };
        match self.queue.submit(now, admission_request) {
            Decision::Run => {
                let permit = ids.next();
                self.grant(now, permit, requester.clone(), Some((number, request_id)));
                Outcome::Granted(permit)
            }
            Decision::Wait => {
                self.queued.push(QueuedRequest {
                    request_id,
                    requester: requester.clone(),
                    number,
                    pool,
                });
                Outcome::Queued
            }
            Decision::Refuse { retry_after } => refused(retry_after),
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        id: PermitId,
        holder: Instance,
        request: Option<(u64, RequestId)>,
    ) {
        let reclaim_at = now + UNREPORTED_TIMEOUT;
        self.granted.push(PermitEntry { id, holder, request, reclaim_at, expires_at: None });
    }

    /// Releases a permit; `used` is the actual cost of the call.
    pub(crate) fn release(&mut self, now: Instant, id: PermitId, used: Tokens) {
        let Some(index) = self.granted.iter().position(|permit| permit.id == id) else {
            return;
        };
        let permit = self.granted.swap_remove(index);
        if let Some((_, request_id)) = permit.request {
            self.queue.finish(now, request_id, used);
        }
    }

    /// Withdraws the permit request `number` of `requester`, or releases the permit that it got.
    pub(crate) fn withdraw(&mut self, now: Instant, requester: &Instance, number: u64) {
        let is_requested =
            |queued: &mut QueuedRequest| queued.requester == *requester && queued.number == number;
        for queued in self.queued.extract_if(.., is_requested) {
            self.queue.withdraw(queued.request_id);
        }
        let is_requested = |permit: &&PermitEntry| {
            permit.holder == *requester
                && permit.request.is_some_and(|(requested, _)| requested == number)
        };
        let id = self.granted.iter().find(is_requested).map(|permit| permit.id);
        if let Some(id) = id {
            self.release(now, id, Tokens(0));
        }
    }

    /// Advances the queue. Returns replies to the requests that were granted or refused.
    pub(crate) fn next(&mut self, now: Instant, ids: &mut PermitIds) -> Vec<Reply> {
        let mut replies = Vec::new();
        for action in self.queue.next_actions(now) {
            let (request_id, refusal) = match action {
                QueueAction::Run(request_id) => (request_id, None),
                QueueAction::Refuse { request_id, retry_after } => (request_id, Some(retry_after)),
            };
            let is_same = |queued: &QueuedRequest| queued.request_id == request_id;
            let Some(index) = self.queued.iter().position(is_same) else {
                continue;
            };
            let QueuedRequest { requester, number, .. } = self.queued.remove(index);
            let outcome = match refusal {
                None => {
                    let permit = ids.next();
                    self.grant(now, permit, requester.clone(), Some((number, request_id)));
                    Outcome::Granted(permit)
                }
                Some(retry_after) => refused(retry_after),
            };
            replies.push(Reply { requester, number, outcome });
        }
        replies
    }

    /// Removes all requests from the queue. Returns replies with `outcome`.
    pub(crate) fn reject_queued(&mut self, outcome: &Outcome) -> Vec<Reply> {
        let queued = std::mem::take(&mut self.queued);
        queued
            .into_iter()
            .map(|QueuedRequest { request_id, requester, number, .. }| {
                self.queue.withdraw(request_id);
                Reply { requester, number, outcome: outcome.clone() }
            })
            .collect()
    }
}

fn refused(retry_after: Duration) -> Outcome {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    Outcome::Refused { retry_after_millis: millis }
}
