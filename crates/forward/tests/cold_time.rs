//! An engine counts as warm although its data centre has just returned from an evacuation, or as cold
//! although it has said since that it is warm.

use std::time::{Duration, Instant};

use forward::{ColdLimits, ColdTime, PromptLength, RateLimits};
use names::Instance;

const COLD: Duration = Duration::from_secs(3);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a burst at the engines of a data centre that takes requests again.
#[test]
fn an_upstream_is_cold_after_the_evacuation_of_its_data_centre() {
    let heard = Instant::now();
    let end = heard + Duration::from_secs(10);
    let mut time = ColdTime::default();
    assert_eq!(time.until(end, COLD, heard), None);
    time.end_evacuation(end);
    assert_eq!(time.until(end, COLD, heard), Some(end + COLD));
    assert_eq!(time.until(end + millis(2999), COLD, heard), Some(end + COLD));
    assert_eq!(time.until(end + COLD, COLD, heard), None);
}

/// Guards against an announcement from before the end of the evacuation that counts as newer.
#[test]
fn only_an_announcement_after_the_evacuation_ends_the_cold_time() {
    let end = Instant::now();
    let mut time = ColdTime::default();
    time.end_evacuation(end);
    // Instances hear of announcements up to 1.5 s late.
    assert_eq!(time.until(end + millis(1400), COLD, end + millis(1400)), Some(end + COLD));
    assert_eq!(time.until(end + millis(1700), COLD, end + millis(1700)), None);
    time.set_announced(Some(end + millis(5000)));
    assert_eq!(time.until(end + millis(1700), COLD, end + millis(1700)), Some(end + millis(5000)));
    time.set_announced(None);
    assert_eq!(time.until(end + millis(2500), COLD, end + millis(2400)), None);
}

#[test]
fn the_later_of_the_announced_time_and_the_time_after_the_evacuation_applies() {
    let end = Instant::now();
    let mut time = ColdTime::default();
    time.set_announced(Some(end + millis(800)));
    time.end_evacuation(end);
    assert_eq!(time.until(end, COLD, end), Some(end + COLD));
    time.set_announced(Some(end + millis(3400)));
    assert_eq!(time.until(end, COLD, end), Some(end + millis(3400)));
}

/// Guards against the two sides of a partition that each use the whole allowance, after a long time in
/// which the members did not change.
#[test]
fn a_side_of_a_partition_grants_by_the_share_of_the_instances_that_it_sees() {
    let peers: Vec<Instance> =
        (2..=60).filter_map(|number| format!("10.1.0.{number}").parse().ok()).collect();
    let start = Instant::now();
    let mut granted = Vec::new();
    for visible in [59, 19] {
        let Ok(me) = "10.1.0.1".parse() else {
            return;
        };
        let mut limits = RateLimits::new(me);
        limits.set_instances(peers.clone(), 60);
        limits.set_senders(start, peers.clone(), |_| true);
        let cut = start + Duration::from_secs(3600);
        limits.set_senders(cut, peers[..visible].to_vec(), |_| true);
        let begin = cut + Duration::from_secs(10);
        if let Some(cold) = ColdLimits::new(7.9, 1.5, 5.0) {
            limits.set_cold(begin, (7, 1), cold, begin + Duration::from_secs(60), true);
        }
        let times = (0..40_000).map(|millisecond| begin + millis(millisecond));
        let count = times.filter(|now| limits.grant_prompt(*now, 7, PromptLength::Short, true));
        granted.push(count.count());
    }
    assert!((310..=317).contains(&granted[0]), "{granted:?}");
    assert!((100..=107).contains(&granted[1]), "{granted:?}");
}
