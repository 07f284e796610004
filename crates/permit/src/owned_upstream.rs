//! The permits of one owned upstream.

use std::time::{Duration, Instant};

use admission::{Decision, Desk, Offer, Step, Ticket, Tokens};
use names::{Instance, Upstream};

use crate::terms::{Answer, Ids, Limits, Terms, Usage};
use crate::watch::Watchers;
use crate::{Ask, Evidence, Load, Outcome, PermitId, Pool};

/// Time between two claims of a newly owned upstream.
const CLAIM_PERIOD: Duration = Duration::from_millis(200);

/// How long a member may take to report before the upstream is used with a reduced share.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// How long another instance's claim reduces the share.
const CONTEST: Duration = Duration::from_secs(1);

/// Age from which a permit that its holder does not name is taken back in any case.
const FORGOTTEN_AGE: Duration = Duration::from_secs(10);

/// How long permits count whose holder is no member any more.
const LOST_HOLDER_TIME: Duration = Duration::from_secs(5);

/// How long the share of an upstream is rounded down whose owner was lost from view.
const INHERITANCE: Duration = Duration::from_secs(30);

/// Parts into which the limit is divided while two instances may own the upstream.
const REDUCED_PARTS: u32 = 2;

#[derive(Debug)]
struct Given {
    permit: PermitId,
    holder: Instance,
    /// The ask and its ticket at the desk; none for a permit that another owner gave.
    asked: Option<(u64, Ticket)>,
    forgotten_at: Instant,
    /// When the permit ends whose holder is no member; the holder may still be calling.
    ends_at: Option<Instant>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    asker: Instance,
    number: u64,
    pool: Pool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for reports and gives nothing.
    Taking { reduced_from: Instant },
    /// Gives permits up to the limit.
    Settled,
}

/// What an owner knows of one upstream.
pub(crate) struct Book {
    pub(crate) upstream: Upstream,
    desk: Box<dyn Desk>,
    given: Vec<Given>,
    waiting: Vec<Waiting>,
    pub(crate) watchers: Watchers,
    phase: Phase,
    /// Members that did not report yet, or that see another owner.
    missing: Vec<Instance>,
    next_claim: Instant,
    contested_until: Option<Instant>,
    /// Until when an owner that was lost from view may still give permits.
    inherited_until: Option<Instant>,
    /// The share of the load bound, as it was computed last.
    bound: u32,
}

impl Book {
    pub(crate) fn new(
        now: Instant,
        upstream: Upstream,
        desk: Box<dyn Desk>,
        members: &[Instance],
    ) -> Self {
        let mut book = Self {
            upstream,
            desk,
            given: Vec::new(),
            waiting: Vec::new(),
            watchers: Watchers::default(),
            phase: Phase::Settled,
            missing: Vec::new(),
            next_claim: now,
            contested_until: None,
            inherited_until: None,
            bound: 0,
        };
        book.take_over(now, members);
        book
    }

    /// The book of an upstream whose owner was lost from view and may live on elsewhere.
    pub(crate) fn inherited(self, now: Instant) -> Self {
        Self { inherited_until: Some(now + INHERITANCE), ..self }
    }

    /// Whether an owner that was lost from view may still give permits.
    pub(crate) fn is_inherited(&self, now: Instant) -> bool {
        self.inherited_until.is_some_and(|until| now < until)
    }

    /// Gives nothing until all `members` have reported what they hold.
    pub(crate) fn take_over(&mut self, now: Instant, members: &[Instance]) {
        self.phase = Phase::Taking { reduced_from: now + CLAIM_TIMEOUT };
        self.missing = members.to_vec();
        self.next_claim = now;
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.given.len()).unwrap_or(u32::MAX)
    }

    /// Requests in flight; those of holders that were lost or are doubted are uncertain.
    pub(crate) fn load(&self, doubted: &[Instance]) -> Load {
        let is_certain =
            |given: &&Given| given.ends_at.is_none() && !doubted.contains(&given.holder);
        let certain = self.given.iter().filter(is_certain).count();
        let certain = u32::try_from(certain).unwrap_or(u32::MAX);
        Load { certain, uncertain: self.in_flight() - certain }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.desk.waiting()
    }

    /// What operators see of the book.
    pub(crate) fn usage(&self) -> Usage<'_> {
        let (in_flight, waiting) = (self.in_flight(), self.waiting());
        Usage { upstream: &self.upstream, in_flight, bound: self.bound, waiting }
    }

    /// The pool of the request that waits longest.
    pub(crate) fn waiting_pool(&self) -> Option<&Pool> {
        self.waiting.first().map(|waiting| &waiting.pool)
    }

    /// The members that have to report; empty when no claim is due.
    pub(crate) fn due_claims(&mut self, now: Instant) -> Vec<Instance> {
        if self.missing.is_empty() || now < self.next_claim {
            return Vec::new();
        }
        self.next_claim = now + CLAIM_PERIOD;
        self.missing.clone()
    }

    /// Forgets asks of members that are gone. Their permits count on for a while: a member that
    /// was lost from view may still be calling.
    pub(crate) fn retain_members(&mut self, now: Instant, members: &[Instance]) {
        self.missing.retain(|member| members.contains(member));
        for given in &mut self.given {
            let is_member = members.contains(&given.holder);
            let ends_at = given.ends_at.unwrap_or(now + LOST_HOLDER_TIME);
            given.ends_at = (!is_member).then_some(ends_at);
        }
        for waiting in self.waiting.extract_if(.., |one| !members.contains(&one.asker)) {
            self.desk.withdraw(waiting.ticket);
        }
        self.settle();
    }

    /// Takes back the permits of holders that were lost for long.
    pub(crate) fn end_lost(&mut self, now: Instant) {
        self.release_where(now, |given| given.ends_at.is_some_and(|ends_at| ends_at <= now));
    }

    /// Takes back the permits of a holder that is known to have ended.
    pub(crate) fn end_holder(&mut self, now: Instant, holder: &Instance) {
        self.release_where(now, |given| given.holder == *holder);
    }

    fn release_where<F>(&mut self, now: Instant, is_over: F)
    where
        F: Fn(&Given) -> bool,
    {
        let over = self.given.iter().filter(|given| is_over(given)).map(|given| given.permit);
        for permit in over.collect::<Vec<_>>() {
            self.release(now, permit, Tokens(0));
        }
    }

    fn settle(&mut self) {
        if self.missing.is_empty() {
            self.phase = Phase::Settled;
        }
    }

    /// Takes a report of `holder`.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        holder: &Instance,
        permits: &[PermitId],
        agrees: bool,
    ) {
        for permit in permits {
            if !self.given.iter().any(|given| given.permit == *permit) {
                self.give(now, *permit, holder.clone(), None);
            }
        }
        if agrees {
            self.missing.retain(|member| member != holder);
            self.settle();
        }
    }

    /// Takes back permits that `holder` does not name although it got later ones.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        holder: &Instance,
        permits: &[PermitId],
        is_known_to_holder: impl Fn(PermitId) -> bool,
    ) {
        self.report(now, holder, permits, false);
        self.release_where(now, |given| {
            given.holder == *holder
                && !permits.contains(&given.permit)
                && (is_known_to_holder(given.permit) || given.forgotten_at <= now)
        });
    }

    /// Takes note that another instance claims the upstream.
    pub(crate) fn contest(&mut self, now: Instant) {
        self.contested_until = Some(now + CONTEST);
    }

    /// Whether no other instance counts the permits of the upstream.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.phase == Phase::Settled && !self.is_contested(now)
    }

    fn is_contested(&self, now: Instant) -> bool {
        self.contested_until.is_some_and(|until| now < until)
    }

    /// The limit for permits now, of the whole `limit`.
    fn share(&self, now: Instant, limit: u32) -> u32 {
        match self.phase {
            Phase::Taking { reduced_from } if now < reduced_from => 0,
            Phase::Taking { .. } => limit / REDUCED_PARTS,
            Phase::Settled if self.is_contested(now) => limit / REDUCED_PARTS,
            Phase::Settled => limit,
        }
    }

    /// How many more requests may run, whether lost holders live or not.
    fn headroom(&self, now: Instant, limits: Limits, doubted: &[Instance]) -> u32 {
        let load = self.load(doubted);
        let certain = self.share(now, limits.certain).saturating_sub(load.certain);
        let all = self.share(now, limits.all).saturating_sub(load.all());
        certain.min(all)
    }

    /// Sets what may run at once by the load bound.
    pub(crate) fn set_limits(&mut self, now: Instant, limits: Limits, doubted: &[Instance]) -> u32 {
        let headroom = self.headroom(now, limits, doubted);
        self.bound = self.share(now, limits.certain);
        self.desk.set_room(self.desk.running() + headroom);
        headroom
    }

    /// Decides on an ask.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        asker: &Instance,
        ask: Ask,
        terms: Terms<'_>,
    ) -> Outcome {
        let Terms { ids, limits, slots, doubted } = terms;
        if matches!(self.phase, Phase::Taking { reduced_from } if now < reduced_from) {
            return Outcome::NotOwner;
        }
        let headroom = self.set_limits(now, limits, doubted);
        let has_room = headroom > 0 && self.desk.waiting() == 0;
        if !ask.may_wait && !has_room {
            let load = Evidence { load: self.load(doubted), slots };
            return Outcome::Full { load, waiting: self.desk.ahead(ask.rank) };
        }
        let Ask { number, pool, .. } = ask;
        let ticket = Ticket(ids.next().0);
        let offer = Offer {
            ticket,
            account: ask.account,
            weight: ask.weight,
            kind: ask.kind,
            rank: ask.rank,
            least_share_percent: ask.least_share_percent,
            deadline: now + Duration::from_millis(ask.remaining_millis),
            cost: ask.cost,
        };
        match self.desk.offer(now, offer) {
            Decision::Run => {
                let permit = ids.next();
                self.give(now, permit, asker.clone(), Some((number, ticket)));
                Outcome::Granted(permit)
            }
            Decision::Wait => {
                self.waiting.push(Waiting { ticket, asker: asker.clone(), number, pool });
                Outcome::Waiting
            }
            Decision::Refuse { retry_after } => refused(retry_after),
        }
    }

    fn give(
        &mut self,
        now: Instant,
        permit: PermitId,
        holder: Instance,
        asked: Option<(u64, Ticket)>,
    ) {
        let forgotten_at = now + FORGOTTEN_AGE;
        self.given.push(Given { permit, holder, asked, forgotten_at, ends_at: None });
    }

    /// Takes a permit back.
    pub(crate) fn release(&mut self, now: Instant, permit: PermitId, used: Tokens) {
        let Some(index) = self.given.iter().position(|given| given.permit == permit) else {
            return;
        };
        let given = self.given.swap_remove(index);
        if let Some((_, ticket)) = given.asked {
            self.desk.finish(now, ticket, used);
        }
    }

    /// Gives up the ask `number` of `asker`, or the permit that it got.
    pub(crate) fn withdraw(&mut self, now: Instant, asker: &Instance, number: u64) {
        let is_asked = |waiting: &mut Waiting| waiting.asker == *asker && waiting.number == number;
        for waiting in self.waiting.extract_if(.., is_asked) {
            self.desk.withdraw(waiting.ticket);
        }
        let is_given = |given: &&Given| {
            given.holder == *asker && given.asked.is_some_and(|(asked, _)| asked == number)
        };
        let given = self.given.iter().find(is_given).map(|given| given.permit);
        if let Some(permit) = given {
            self.release(now, permit, Tokens(0));
        }
    }

    /// What becomes of waiting asks now.
    pub(crate) fn next(&mut self, now: Instant, ids: &mut Ids) -> Vec<Answer> {
        let mut answers = Vec::new();
        for step in self.desk.next(now) {
            let (ticket, refusal) = match step {
                Step::Run(ticket) => (ticket, None),
                Step::Refuse { ticket, retry_after } => (ticket, Some(retry_after)),
            };
            let is_meant = |waiting: &Waiting| waiting.ticket == ticket;
            let Some(index) = self.waiting.iter().position(is_meant) else {
                continue;
            };
            let Waiting { asker, number, .. } = self.waiting.remove(index);
            let outcome = match refusal {
                None => {
                    let permit = ids.next();
                    self.give(now, permit, asker.clone(), Some((number, ticket)));
                    Outcome::Granted(permit)
                }
                Some(retry_after) => refused(retry_after),
            };
            answers.push(Answer { asker, number, outcome });
        }
        answers
    }

    /// Sends all waiting askers away with `outcome`.
    pub(crate) fn send_away(&mut self, outcome: &Outcome) -> Vec<Answer> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|Waiting { ticket, asker, number, .. }| {
                self.desk.withdraw(ticket);
                Answer { asker, number, outcome: outcome.clone() }
            })
            .collect()
    }
}

fn refused(retry_after: Duration) -> Outcome {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    Outcome::Refused { retry_after_millis: millis }
}
