//! What keepers of upstreams are told, and what they answer, in a large fleet.

use std::time::{Duration, Instant};

use names::{Instance, Upstream};
use stakker::{CX, after};

use super::Forwarder;
use super::loads::{Count, Message, Pace};

impl Forwarder {
    /// Answers, as the keeper of an upstream, how much it holds.
    pub(super) fn answer_count(&mut self, now: Instant, sender: Instance, count: Count) {
        let Count { number, upstream, held, in_flight, .. } = count;
        self.tally.tell(now, &sender, number, upstream, held);
        let held = self.tally.held(now, upstream);
        let service = self.table.count_of(upstream).map(|counted| counted.service.clone());
        let in_flight = service.map_or(in_flight, |service| self.table.in_flight(&service));
        let micros = self.paces.of(now, upstream).unwrap_or_default();
        let count = Count { number, upstream, held, in_flight, micros };
        self.send_loads(vec![sender], &Message::Answer(count));
    }

    /// Tells the keeper of an upstream how fast it was with an event or a plain answer.
    pub(super) fn tell_pace(&mut self, now: Instant, upstream: &Upstream, pace: Duration) {
        let micros = u32::try_from(pace.as_micros()).unwrap_or(u32::MAX);
        self.tell_upstream(now, upstream, Some(micros));
    }

    /// Tells the keeper of an upstream what this instance has there.
    pub(super) fn tell_count(&mut self, now: Instant, upstream: &Upstream) {
        self.tell_upstream(now, upstream, None);
    }

    fn tell_upstream(&mut self, now: Instant, upstream: &Upstream, micros: Option<u32>) {
        if !forward::is_wide(self.entries) {
            return;
        }
        let Some(counted) = self.table.count(upstream) else {
            return;
        };
        let (short, own) = (counted.short, counted.own);
        let keeper = self.keeper(upstream, counted.data_centre);
        let pace = micros.map(|micros| Pace { upstream: short, micros });
        self.tell(now, keeper, vec![(short, own)], pace);
    }

    fn tell(
        &mut self,
        now: Instant,
        keeper: Option<Instance>,
        held: Vec<(u32, u32)>,
        pace: Option<Pace>,
    ) {
        self.number += 1;
        let number = self.number;
        match keeper {
            Some(keeper) => self.send_loads(vec![keeper], &Message::Tell { number, held, pace }),
            None => {
                if let Some(Pace { upstream, micros }) = pace {
                    self.paces.observe(now, upstream, micros);
                }
                let me = self.settings.instance.clone();
                for (upstream, held) in held {
                    self.tally.tell(now, &me, number, upstream, held);
                }
            }
        }
    }

    /// Repeats to all keepers what this instance has at upstreams.
    pub(super) fn repeat_counts(&mut self, cx: CX![]) {
        let now = cx.now();
        self.tally.forget(now);
        self.paces.forget(now);
        if forward::is_wide(self.entries) {
            let kept = self.table.counts().map(|counted| {
                let keeper = self.keeper(counted.upstream, counted.data_centre);
                (keeper, (counted.short, counted.own))
            });
            let mut kept: Vec<(Option<Instance>, (u32, u32))> = kept.collect();
            kept.sort();
            for of_keeper in kept.chunk_by(|one, other| one.0 == other.0) {
                let held = of_keeper.iter().map(|one| one.1).collect();
                self.tell(now, of_keeper[0].0.clone(), held, None);
            }
        }
        after!(forward::TELL_PERIOD, [cx], repeat_counts());
    }
}
