//! The mean load of a pool, from small sums that owners send to one aggregator for each pool.

use std::time::{Duration, Instant};

use names::Instance;

use crate::{Load, Pool};

/// Time between two looks for sums that changed.
pub(crate) const SUM_PERIOD: Duration = Duration::from_millis(20);

/// A sum that changed by less than this part of it is not sent at once.
const DRIFT_PARTS: u32 = 20;

/// A sum that did not change is sent again after this time.
const REFRESH: Duration = Duration::from_millis(100);

/// A sum that was not heard again counts as zero after this time.
const VALIDITY: Duration = Duration::from_millis(250);

/// A part counts with the least value that it had within this time.
const WINDOW: Duration = Duration::from_millis(150);

/// What an asker learned on its walk counts for this long.
const EVIDENCE_VALIDITY: Duration = Duration::from_millis(10);

/// How long a pool without asks is reported.
const POOL_MEMORY: Duration = Duration::from_secs(10);

fn has_drifted(old: Load, new: Load) -> bool {
    let is_far = |old: u32, new: u32| old.abs_diff(new) * DRIFT_PARTS > old;
    is_far(old.certain, new.certain) || is_far(old.uncertain, new.uncertain)
}

/// A load that was sent, to decide when to send it again.
#[derive(Debug, Clone, Copy)]
struct Sent {
    value: Load,
    refresh_at: Instant,
}

/// Whether `value` has to be sent now; takes note of it if so.
fn is_due(sent: &mut Option<Sent>, now: Instant, value: Load) -> bool {
    let is_due = sent.is_none_or(|sent| has_drifted(sent.value, value) || sent.refresh_at <= now);
    if is_due {
        *sent = Some(Sent { value, refresh_at: now + REFRESH });
    }
    is_due
}

/// What an owner knows of the load of a pool.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) pool: Pool,
    heard: Load,
    heard_until: Instant,
    evidence: Load,
    evidence_until: Instant,
    forget_at: Instant,
    sent: Option<Sent>,
    /// The aggregator that has the own part.
    aggregator: Option<Instance>,
}

impl Known {
    fn new(now: Instant, pool: Pool) -> Self {
        let forget_at = now + POOL_MEMORY;
        Self {
            pool,
            heard: Load::default(),
            heard_until: now,
            evidence: Load::default(),
            evidence_until: now,
            forget_at,
            sent: None,
            aggregator: None,
        }
    }

    /// Takes note of who sums the pool now; gives the instance that did before, if another one.
    pub(crate) fn set_aggregator(&mut self, aggregator: &Instance) -> Option<Instance> {
        let former = self.aggregator.replace(aggregator.clone());
        former.filter(|former| former != aggregator)
    }

    /// The load of the pool, of which `own` is at this instance's upstreams; rather too low than
    /// too high.
    pub(crate) fn total(&self, now: Instant, own: Load) -> Load {
        let heard = if now < self.heard_until { self.heard } else { Load::default() };
        let evidence = if now < self.evidence_until { self.evidence } else { Load::default() };
        heard.combine(evidence, u32::max).combine(own, u32::max)
    }

    pub(crate) fn set_total(&mut self, now: Instant, total: Load) {
        self.heard = total;
        self.heard_until = now + VALIDITY;
    }

    pub(crate) fn set_evidence(&mut self, now: Instant, evidence: Load) {
        self.evidence = evidence;
        self.evidence_until = now + EVIDENCE_VALIDITY;
    }

    /// Whether the own part has to be sent to the aggregator.
    pub(crate) fn is_due(&mut self, now: Instant, part: Load) -> bool {
        is_due(&mut self.sent, now, part)
    }

    /// Forgets what was heard and sends the part anew, since the members changed.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.sent = None;
        self.heard_until = now;
    }
}

/// The pools that an owner was asked about.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pub(crate) known: Vec<Known>,
}

impl Pools {
    /// The pool, which is remembered for a while.
    pub(crate) fn get(&mut self, now: Instant, pool: &Pool) -> &mut Known {
        let index = match self.known.iter().position(|known| known.pool == *pool) {
            Some(index) => index,
            None => {
                self.known.push(Known::new(now, pool.clone()));
                self.known.len() - 1
            }
        };
        self.known[index].forget_at = now + POOL_MEMORY;
        &mut self.known[index]
    }

    pub(crate) fn find(&mut self, pool: &Pool) -> Option<&mut Known> {
        self.known.iter_mut().find(|known| known.pool == *pool)
    }

    pub(crate) fn tidy(&mut self, now: Instant) {
        self.known.retain(|known| known.forget_at > now);
    }
}

#[derive(Debug)]
struct Row {
    owner: Instance,
    /// The parts in force lately, and until when; the last one holds still.
    parts: Vec<(Load, Instant)>,
    sent: Option<Sent>,
}

impl Row {
    fn take(&mut self, now: Instant, part: Load) {
        if let Some(last) = self.parts.last_mut() {
            // An owner that repeats its part may have forgotten the total.
            if last.0 == part {
                self.sent = None;
            }
            last.1 = now + WINDOW;
        }
        self.parts.push((part, now + VALIDITY));
    }

    /// The least part in force within the window: a request that ends here and begins elsewhere
    /// is never counted twice, whichever part is heard first.
    fn least(&mut self, now: Instant) -> Load {
        self.parts.retain(|(_, until)| *until > now);
        let parts = self.parts.iter().map(|(part, _)| *part);
        parts.reduce(|one, other| one.combine(other, u32::min)).unwrap_or_default()
    }
}

#[derive(Debug)]
struct Table {
    pool: Pool,
    rows: Vec<Row>,
}

/// Sums the parts of the pools that this instance aggregates.
#[derive(Debug, Default)]
pub(crate) struct Aggregator {
    tables: Vec<Table>,
}

impl Aggregator {
    /// Forgets all parts, since they may be of another view of the members.
    pub(crate) fn clear(&mut self) {
        self.tables.clear();
    }

    /// Forgets the parts of `owner`, whose view of the members differs.
    pub(crate) fn forget(&mut self, owner: &Instance) {
        for table in &mut self.tables {
            table.rows.retain(|row| row.owner != *owner);
        }
    }

    /// Takes the part of `owner`.
    pub(crate) fn take(&mut self, now: Instant, owner: &Instance, pool: Pool, part: Load) {
        let index = match self.tables.iter().position(|table| table.pool == pool) {
            Some(index) => index,
            None => {
                self.tables.push(Table { pool, rows: Vec::new() });
                self.tables.len() - 1
            }
        };
        let rows = &mut self.tables[index].rows;
        match rows.iter_mut().find(|row| row.owner == *owner) {
            Some(row) => row.take(now, part),
            None => {
                let parts = vec![(part, now + VALIDITY)];
                rows.push(Row { owner: owner.clone(), parts, sent: None });
            }
        }
    }

    /// The totals that have to be sent: to whom, of which pool, and the load.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(Instance, Pool, Load)> {
        let mut due = Vec::new();
        for Table { pool, rows } in &mut self.tables {
            let total = rows.iter_mut().fold(Load::default(), |sum, row| {
                sum.combine(row.least(now), |one, other| one + other)
            });
            rows.retain(|row| !row.parts.is_empty());
            for row in rows {
                if is_due(&mut row.sent, now, total) {
                    due.push((row.owner.clone(), pool.clone(), total));
                }
            }
        }
        self.tables.retain(|table| !table.rows.is_empty());
        due
    }
}
