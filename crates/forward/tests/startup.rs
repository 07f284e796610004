//! Tests of the requests that wait while an instance starts.

use std::time::{Duration, Instant};

use forward::{StartupDecision, StartupQueue};

const STARTUP: Duration = Duration::from_millis(1500);

/// Guards against requests that are refused although the instance is ready soon enough for them.
#[test]
fn a_request_waits_at_most_until_the_end_of_the_startup() {
    let start = Instant::now();
    let queue: StartupQueue<u32> = StartupQueue::new(start + STARTUP);
    let now = start + Duration::from_millis(100);
    let decision = queue.decide(now, Some(Duration::from_secs(10)), 800);
    assert_eq!(decision, StartupDecision::Wait(start + STARTUP));
    assert_eq!(queue.decide(now, None, 800), StartupDecision::Wait(start + STARTUP));
}

/// Guards against requests that wait until no upstream could answer them in time.
#[test]
fn a_request_keeps_half_of_its_time_for_an_upstream() {
    let start = Instant::now();
    let queue: StartupQueue<u32> = StartupQueue::new(start + STARTUP);
    let decision = queue.decide(start, Some(Duration::from_secs(1)), 800);
    assert_eq!(decision, StartupDecision::Wait(start + Duration::from_millis(500)));
}

/// Guards against requests that wait at an instance that does not become ready, such as one that is
/// cut off from all control instances.
#[test]
fn a_request_after_the_startup_is_refused_at_once() {
    let start = Instant::now();
    let queue: StartupQueue<u32> = StartupQueue::new(start + STARTUP);
    let decision = queue.decide(start + STARTUP, Some(Duration::from_secs(10)), 800);
    assert_eq!(decision, StartupDecision::Refuse);
}

/// Guards against a process that runs out of memory because a crowd of callers sends requests
/// while it starts.
#[test]
fn the_waiting_requests_are_limited_in_number_and_size() {
    let start = Instant::now();
    let mut by_number = StartupQueue::new(start + STARTUP);
    let mut by_size = StartupQueue::new(start + STARTUP);
    for item in 0..10_000 {
        if let StartupDecision::Wait(until) = by_number.decide(start, None, 0) {
            by_number.push(until, 0, item);
        }
        if let StartupDecision::Wait(until) = by_size.decide(start, None, 3 << 20) {
            by_size.push(until, 3 << 20, item);
        }
    }
    assert_eq!(by_number.take_all().len(), 512);
    assert_eq!(by_size.take_all(), [0, 1]);
}

/// Guards against requests that are answered in another order than they arrived in, and against
/// those that wait for longer than they may.
#[test]
fn requests_leave_the_queue_once_and_in_order() {
    let start = Instant::now();
    let mut queue = StartupQueue::new(start + STARTUP);
    queue.push(start + Duration::from_millis(500), 10, 1);
    queue.push(start + STARTUP, 10, 2);
    queue.push(start + STARTUP, 10, 3);
    queue.push(start + STARTUP, 10, 4);
    assert_eq!(queue.next_expiry(), Some(start + Duration::from_millis(500)));
    assert_eq!(queue.take_expired(start + Duration::from_millis(500)), [1]);
    assert_eq!(queue.remove(|item| *item == 3), [3]);
    assert_eq!(queue.take_all(), [2, 4]);
    assert_eq!(queue.next_expiry(), None);
}
