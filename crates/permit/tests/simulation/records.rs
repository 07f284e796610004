//! Names, announcements and requests of the simulation.

use std::time::{Duration, Instant};

use admission::Tokens;
use declare::{Labels, Rank, Target};
use names::{Incarnation, Instance, Upstream};
use permit::PlacementRequest;
use upstream::{Announcement, Protocol, Record};

/// Default number of slots of an upstream.
pub const SLOTS: u32 = 16;

pub fn instance(index: usize) -> Instance {
    format!("instance-{index}").parse().unwrap()
}

pub fn upstream_name(index: usize) -> Upstream {
    format!("engine-{index}").parse().unwrap()
}

pub fn record(index: usize, version: u64, is_leaving: bool, is_gone: bool) -> Record {
    record_with_slots(index, SLOTS, version, is_leaving, is_gone)
}

pub fn record_with_slots(
    index: usize,
    slots: u32,
    version: u64,
    is_leaving: bool,
    is_gone: bool,
) -> Record {
    let announcement = Announcement {
        upstream: upstream_name(index),
        incarnation: Incarnation(1),
        data_centre: "giza".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        protocol: Protocol::ChatCompletions,
        models: vec!["caption-small".parse().unwrap()],
        slots,
        labels: Labels::default(),
        expires_in: units::Span::from_seconds(60),
        is_leaving,
        checks_fencing: false,
        moves_context: false,
    };
    Record { announcement, version, is_gone }
}

pub fn placement_request(caller: usize, now: Instant, avoided: &[usize]) -> PlacementRequest {
    PlacementRequest {
        target: Target::Model("caption-small".parse().unwrap()),
        key: caller as u64 * 7919,
        excluded: avoided.iter().map(|index| upstream_name(*index)).collect(),
        account: "nasr".parse().unwrap(),
        weight: 1,
        kind: "caption".parse().unwrap(),
        rank: Rank::Normal,
        least_share_percent: 0,
        deadline: now + Duration::from_secs(20),
        cost: Tokens(100),
    }
}
