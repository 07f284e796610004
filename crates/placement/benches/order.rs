//! Cost of one placement at the current and the planned size of a data centre.

#![allow(missing_docs, clippy::unwrap_used)]

use divan::{Bencher, black_box};
use placement::{Candidate, LoadBound, PolicyKind, weight};

/// Numbers of upstreams in a data centre: the current sizes, and the planned size.
const UPSTREAMS: [usize; 3] = [10, 24, 230];

/// Number of instances in a data centre at the planned size.
const INSTANCES: usize = 88;

const POLICIES: [PolicyKind; 5] = [
    PolicyKind::Bounded,
    PolicyKind::Rendezvous,
    PolicyKind::RoundRobin,
    PolicyKind::Random,
    PolicyKind::LeastLoad,
];

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index| Candidate {
        upstream: format!("engine-{index:03}").parse().unwrap(),
        slots: 8,
        in_flight: (index * 7 % 8) as u32,
    };
    (0..count).map(candidate).collect()
}

fn main() {
    divan::main();
}

/// Finds the home upstream of one conversation.
#[divan::bench(consts = UPSTREAMS)]
fn home<const COUNT: usize>(bencher: Bencher<'_, '_>) {
    let all = candidates(COUNT);
    let mut key = 0_u64;
    bencher.bench_local(|| {
        key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let known = all.iter().map(|candidate| &candidate.upstream);
        black_box(placement::home(black_box(key), known)).is_some()
    });
}

/// Orders the candidates of one request.
#[divan::bench(args = POLICIES, consts = UPSTREAMS)]
fn order<const COUNT: usize>(bencher: Bencher<'_, '_>, policy_kind: PolicyKind) {
    let mut policy = policy_kind.policy(LoadBound::default(), 1);
    let all = candidates(COUNT);
    let mut key = 0_u64;
    bencher.with_inputs(|| all.clone()).bench_local_values(|mut candidates| {
        key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
        policy.order(key, &mut candidates);
        candidates
    });
}

/// Finds the owner of an upstream among the instances.
#[divan::bench]
fn owner(bencher: Bencher<'_, '_>) {
    let instances: Vec<String> = (0..INSTANCES).map(|index| format!("instance-{index}")).collect();
    let mut key = 0_u64;
    bencher.bench_local(|| {
        key = key.wrapping_add(1);
        black_box(instances.iter().max_by_key(|name| weight(key, name)).cloned())
    });
}
