//! Remembers the evacuated data centres, and when their evacuations ended.

use std::time::Instant;

use names::DataCentre;

/// Data centre that is evacuated, or was since the start of the instance.
#[derive(Debug, Clone)]
struct Evacuation {
    data_centre: DataCentre,
    /// Time at which the evacuation ended, or `None` if it is in force.
    ended_at: Option<Instant>,
}

/// Data centres whose upstreams get no new requests, as operators ordered.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Sorted by data centre.
    list: Vec<Evacuation>,
}

impl Evacuations {
    /// Replaces the evacuated data centres. Those that are no longer among `evacuated` are
    /// remembered with the time `now`, and returned.
    pub fn update(&mut self, now: Instant, evacuated: &[DataCentre]) -> Vec<DataCentre> {
        let mut withdrawn = Vec::new();
        for evacuation in &mut self.list {
            let is_evacuated = evacuated.contains(&evacuation.data_centre);
            if !is_evacuated && evacuation.ended_at.is_none() {
                withdrawn.push(evacuation.data_centre.clone());
            }
            evacuation.ended_at = match is_evacuated {
                true => None,
                false => evacuation.ended_at.or(Some(now)),
            };
        }
        for data_centre in evacuated {
            if let Err(index) = self.position(data_centre) {
                let evacuation = Evacuation { data_centre: data_centre.clone(), ended_at: None };
                self.list.insert(index, evacuation);
            }
        }
        withdrawn
    }

    fn position(&self, data_centre: &DataCentre) -> Result<usize, usize> {
        self.list.binary_search_by(|evacuation| evacuation.data_centre.cmp(data_centre))
    }

    fn get(&self, data_centre: &DataCentre) -> Option<&Evacuation> {
        self.position(data_centre).ok().map(|index| &self.list[index])
    }

    /// Returns whether the data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.get(data_centre).is_some_and(|evacuation| evacuation.ended_at.is_none())
    }

    /// Returns the time at which the last evacuation of the data centre ended, or `None` if it is
    /// evacuated or never was since the start of the instance.
    pub fn ended_at(&self, data_centre: &DataCentre) -> Option<Instant> {
        self.get(data_centre).and_then(|evacuation| evacuation.ended_at)
    }

    /// Returns the time at which the slow start of an upstream in the data centre begins that has
    /// been known since `known_since`. Its cached context may be gone after an evacuation, and its
    /// load is not known.
    pub fn slow_start_since(&self, data_centre: &DataCentre, known_since: Instant) -> Instant {
        self.ended_at(data_centre).map_or(known_since, |ended_at| known_since.max(ended_at))
    }
}
