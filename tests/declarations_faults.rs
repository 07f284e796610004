//! Declarations with a quorum of voters: through any instance, across kills, cuts and resends.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{
    AMAL, BERT, Fleet, HEALED, HEALTHY, Plan, Reply, apply, declarations, declared, declaring, get,
    in_force, operators, revision, revision_at, try_order, wait_for, weighing,
};

const DATA_CENTRES: [&str; 6] = ["giza", "cairo", "delta", "giza", "cairo", "delta"];
const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Six instances in three data centres, of which the first three vote.
fn plan() -> Plan {
    declaring(&DATA_CENTRES).with_voters(3)
}

/// Gives the order through the instances in turn, as the commands do, until its outcome is known.
fn resend(fleet: &Fleet, first: usize, token: &str, base: u64, id: &str, weight: u64) -> Reply {
    let path = format!("/declarations?base={base}&order={id}");
    let mut index = first;
    wait_for("outcome of an order", || {
        let reply = try_order(operators(fleet, index), token, &path, &weighing(weight));
        index = (index + 1) % fleet.instances.len();
        reply.filter(|reply| !matches!(reply.status, 503 | 504))
    })
}

fn leader(fleet: &Fleet) -> usize {
    wait_for("leader", || {
        (0..3).find(|index| {
            let status = get(operators(fleet, *index), "/state").unwrap_or_default();
            status.contains("\"role\":\"leader\"")
        })
    })
}

#[test]
fn an_order_through_any_instance_is_in_force_everywhere_within_the_target() {
    let fleet = Fleet::start_plan(plan());
    leader(&fleet);
    for (base, index) in ALL.iter().enumerate() {
        let reply = resend(&fleet, *index, AMAL, base as u64, &format!("order-{base}"), 2);
        assert_eq!(reply.status, 200, "{reply:?}");
        let took = in_force(&fleet, &ALL, base as u64 + 1);
        println!("through instance {index}: in force at 6 instances after {took:?}");
        assert!(took <= HEALTHY, "{took:?}");
    }
    let audit = declared(operators(&fleet, 5), "/declarations/audit").body;
    assert_eq!(audit["audit"].as_array().unwrap().len(), 6);
}

#[test]
fn operators_racing_through_different_instances_never_share_a_revision() {
    let fleet = Fleet::start_plan(plan());
    leader(&fleet);
    for base in 0..8 {
        let replies: Vec<Reply> = std::thread::scope(|scope| {
            let racers: Vec<_> = ALL
                .iter()
                .map(|index| {
                    let (fleet, order) = (&fleet, format!("{base}-{index}"));
                    let token = if index % 2 == 0 { AMAL } else { BERT };
                    scope.spawn(move || resend(fleet, *index, token, base, &order, base + 3))
                })
                .collect();
            racers.into_iter().map(|racer| racer.join().unwrap()).collect()
        });
        let won: Vec<&Reply> = replies.iter().filter(|reply| reply.status == 200).collect();
        assert_eq!(won.len(), 1, "{replies:?}");
        for lost in replies.iter().filter(|reply| reply.status != 200) {
            let winner = &lost.body["error"]["more"]["winner"];
            assert_eq!((lost.status, &winner["order"]), (409, &won[0].body["order"]));
        }
    }
}

#[test]
fn a_resend_through_another_instance_after_a_leader_change_gets_the_first_answer() {
    let mut fleet = Fleet::start_plan(plan());
    let lost = leader(&fleet);
    assert_eq!(resend(&fleet, 3, AMAL, 0, "first", 2).status, 200);
    assert_eq!(resend(&fleet, 4, AMAL, 1, "second", 3).status, 200);
    fleet.kill(lost);
    let start = Instant::now();
    let resent = resend(&fleet, 5, AMAL, 0, "first", 2);
    assert_eq!((resent.status, resent.body["revision"].as_u64()), (200, Some(1)), "{resent:?}");
    assert_eq!(resend(&fleet, 5, BERT, 2, "third", 4).status, 200);
    let alive: Vec<usize> = ALL.into_iter().filter(|index| *index != lost).collect();
    in_force(&fleet, &alive, 3);
    fleet.restart(lost);
    in_force(&fleet, &[lost], 3);
    println!("leader killed, order committed, leader back after {:?}", start.elapsed());
    assert!(start.elapsed() <= HEALED);
    let other = resend(&fleet, lost, AMAL, 3, "first", 9);
    assert_eq!(other.status, 409, "{other:?}");
}

#[test]
fn a_voter_that_was_down_for_hundreds_of_changes_catches_up() {
    let mut fleet = Fleet::start_plan(plan());
    leader(&fleet);
    assert_eq!(resend(&fleet, 0, AMAL, 0, "order-0", 2).status, 200);
    in_force(&fleet, &ALL, 1);
    fleet.kill(2);
    fleet.kill(5);
    for base in 1..300 {
        let reply = resend(&fleet, 3, AMAL, base, &format!("order-{base}"), base + 2);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    fleet.restart(2);
    fleet.restart(5);
    let took = in_force(&fleet, &ALL, 300);
    println!("300 revisions while down: in force {took:?} after the restart");
    assert!(took <= HEALED, "{took:?}");
    let history = declared(operators(&fleet, 2), "/declarations/history").body;
    assert_eq!(history["current"], 300);
}

#[test]
fn a_cut_off_data_centre_keeps_its_revision_and_refuses_orders_until_the_heal() {
    let fleet = Fleet::start_plan(plan().with_proxies());
    leader(&fleet);
    assert_eq!(resend(&fleet, 0, AMAL, 0, "order-0", 2).status, 200);
    in_force(&fleet, &ALL, 1);
    fleet.set_cut(&[2, 5], true);
    assert_eq!(resend(&fleet, 0, AMAL, 1, "order-1", 3).status, 200);
    in_force(&fleet, &[0, 1, 3, 4], 2);
    assert_eq!((revision(&fleet, 2), revision(&fleet, 5)), (Some(1), Some(1)));
    let refused = apply(&fleet, 5, BERT, 1, "order-cut", 9);
    assert!(matches!(refused.status, 503 | 504), "{refused:?}");
    fleet.set_cut(&[2, 5], false);
    let took = in_force(&fleet, &ALL, 2);
    println!("in force {took:?} after the heal");
    assert!(took <= HEALED, "{took:?}");
    let resent = resend(&fleet, 5, BERT, 1, "order-cut", 9);
    assert_eq!(resent.status, 409, "{resent:?}");
}

#[test]
fn a_frozen_instance_catches_up_when_it_wakes() {
    let fleet = Fleet::start_plan(plan());
    leader(&fleet);
    for frozen in [4, leader(&fleet)] {
        let base = revision(&fleet, 3).unwrap();
        fleet.instances[frozen].process.signal("STOP");
        for later in 0..20 {
            let reply = resend(&fleet, 3, AMAL, base + later, &format!("{frozen}-{later}"), later);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        fleet.instances[frozen].process.signal("CONT");
        let took = in_force(&fleet, &ALL, base + 20);
        println!("instance {frozen} was frozen: in force {took:?} after it woke");
        assert!(took <= HEALED, "{took:?}");
    }
}

#[test]
fn an_instance_killed_while_it_stores_never_goes_back() {
    const SEED: u64 = 7;
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut fleet = Fleet::start_plan(plan());
    leader(&fleet);
    let mut base = 0;
    for round in 0..12 {
        let victim = random.random_range(3..6);
        let seen = std::thread::scope(|scope| {
            let orders = scope.spawn(|| {
                for number in 0..8 {
                    let order = format!("{round}-{number}");
                    let reply = resend(&fleet, number % 3, AMAL, base + number as u64, &order, 2);
                    assert_eq!(reply.status, 200, "{reply:?}");
                }
            });
            std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
            let seen = revision(&fleet, victim).unwrap();
            fleet.instances[victim].process.signal("KILL");
            orders.join().unwrap();
            seen
        });
        base += 8;
        fleet.restart(victim);
        let shown = wait_for("first answer of a ready instance", || revision(&fleet, victim));
        assert!(shown >= seen, "seed {SEED}, round {round}: {shown} after {seen}");
        in_force(&fleet, &ALL, base);
    }
}

#[test]
fn a_revision_that_cannot_be_stored_is_in_force_and_named() {
    let mut fleet = Fleet::start_plan(plan());
    leader(&fleet);
    fleet.kill(4);
    let folder = fleet.data_folder("instance-5").join("declarations");
    std::fs::remove_dir_all(&folder).ok();
    std::fs::create_dir_all(folder.parent().unwrap()).unwrap();
    std::fs::write(&folder, "a file in the place of the folder").unwrap();
    fleet.restart(4);
    assert_eq!(resend(&fleet, 4, AMAL, 0, "first", 2).status, 200);
    in_force(&fleet, &ALL, 1);
    let log = fleet.instances[4].process.log_text();
    assert!(log.contains("revision 1 is not stored: "), "{log}");
    fleet.restart(4);
    let shown = wait_for("first answer of a ready instance", || revision(&fleet, 4));
    assert_eq!(shown, 1, "the instance went back");
}

#[test]
fn thousands_of_accounts_go_out_in_one_revision_and_one_changes_after() {
    let fleet = Fleet::start_plan(plan());
    leader(&fleet);
    let accounts: String = (0..5700)
        .map(|account| format!("  - {{name: account-{account}, keys: [\"{account:064x}\"]}}\n"))
        .collect();
    let whole = format!("{}{accounts}", declarations());
    let path = "/declarations?base=0&order=import";
    let reply = try_order(operators(&fleet, 3), AMAL, path, &whole).unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    let imported = in_force(&fleet, &ALL, 1);
    let changed = whole.replace("name: account-77,", "name: account-77, weight: 9,");
    let path = "/declarations?base=1&order=one";
    assert_eq!(try_order(operators(&fleet, 4), AMAL, path, &changed).unwrap().status, 200);
    let took = in_force(&fleet, &ALL, 2);
    println!("{} bytes of YAML: in force after {imported:?}, one change {took:?}", whole.len());
    assert!(imported.max(took) <= HEALED, "{imported:?} {took:?}");
    let audit = declared(operators(&fleet, 5), "/declarations/audit?limit=1").body;
    assert_eq!(audit["audit"][0]["changes"][0], "client account \"account-77\": weight 1 -> 9");
}

/// Watches every instance and fails when one goes back to a lower revision.
fn watch(addresses: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut highest = vec![0; addresses.len()];
        let mut seen = 0;
        while !stop.load(Ordering::Relaxed) {
            for (index, address) in addresses.iter().enumerate() {
                if let Some(revision) = revision_at(*address) {
                    assert!(revision >= highest[index], "instance {index} went back");
                    highest[index] = revision;
                    seen += 1;
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        seen
    })
}

/// Kills, restarts, cuts and heals while operators give orders; returns the revisions made.
fn storm(seed: u64, rounds: usize) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start_plan(plan().with_proxies());
    leader(&fleet);
    let stop = Arc::new(AtomicBool::new(false));
    let watched = watch(ALL.map(|index| operators(&fleet, index)).to_vec(), stop.clone());
    let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
    let mut base = 0;
    for round in 0..rounds {
        let victim = random.random_range(0..6);
        let kills = random.random_range(0..2) == 0;
        if kills {
            fleet.kill(victim);
        } else {
            fleet.set_cut(&[victim], true);
        }
        for number in 0..3 {
            let (first, order) = (random.random_range(0..6), format!("{round}-{number}"));
            let weight = random.random_range(1..100);
            let reply = resend(&fleet, first, AMAL, base, &order, weight);
            match reply.status {
                200 => {
                    base = reply.body["revision"].as_u64().unwrap();
                    let earlier = accepted.insert(base, order);
                    assert_eq!(earlier, None, "seed {seed}: revision {base} was given twice");
                }
                status => panic!("seed {seed}: status {status} {}", reply.body),
            }
        }
        if kills {
            fleet.restart(victim);
        } else {
            fleet.set_cut(&[victim], false);
        }
        let took = in_force(&fleet, &ALL, base);
        assert!(took <= HEALED, "seed {seed}: {took:?}");
    }
    stop.store(true, Ordering::Relaxed);
    assert!(watched.join().unwrap() > 0);
    let audit = declared(operators(&fleet, 0), "/declarations/audit?limit=500").body;
    let records = audit["audit"].as_array().unwrap();
    let audited: BTreeMap<u64, String> = records
        .iter()
        .map(|one| (one["revision"].as_u64().unwrap(), one["order"].as_str().unwrap().to_string()))
        .collect();
    assert_eq!(audited, accepted, "seed {seed}");
    base
}

/// `DECLARE_SEEDS=FROM..TO` runs other seeds than the one of CI.
#[test]
fn nothing_accepted_is_lost_doubled_or_reverted_through_kills_and_cuts() {
    let seeds = std::env::var("DECLARE_SEEDS").unwrap_or("1..2".to_string());
    let (from, to) = seeds.split_once("..").unwrap();
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        let start = Instant::now();
        let revisions = storm(seed, 5);
        println!("seed {seed}: {revisions} revisions through 5 faults in {:?}", start.elapsed());
    }
}

/// Bytes that the instances have sent for declarations, on average.
fn sent_bytes(fleet: &Fleet) -> f64 {
    let sent = fleet.instances.iter().map(|instance| {
        let metrics = get(instance.addresses.operators, "/metrics").unwrap();
        let line = metrics.lines().find(|line| {
            line.starts_with("turmericrelay_peer_bytes") && line.contains("\"declare\"")
        });
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap()
    });
    sent.sum::<f64>() / fleet.instances.len() as f64
}

/// `DECLARE_SIZES=6,24,48` measures other sizes than those of CI.
#[test]
fn what_an_instance_sends_for_declarations_does_not_grow_with_the_fleet() {
    const QUIET: Duration = Duration::from_secs(5);
    const CHANGES: u64 = 10;
    let sizes = std::env::var("DECLARE_SIZES").unwrap_or("6,12".to_string());
    for size in sizes.split(',').map(|size| size.parse::<usize>().unwrap()) {
        let data_centres: Vec<&str> = DATA_CENTRES.into_iter().cycle().take(size).collect();
        let fleet = Fleet::start_plan(declaring(&data_centres).with_voters(3));
        leader(&fleet);
        let all: Vec<usize> = (0..size).collect();
        assert_eq!(resend(&fleet, 0, AMAL, 0, "first", 2).status, 200);
        in_force(&fleet, &all, 1);
        let (before, start) = (sent_bytes(&fleet), Instant::now());
        std::thread::sleep(QUIET);
        let quiet = (sent_bytes(&fleet) - before) / start.elapsed().as_secs_f64();
        let (before, start) = (sent_bytes(&fleet), Instant::now());
        let mut slowest = Duration::ZERO;
        for base in 1..=CHANGES {
            assert_eq!(resend(&fleet, 0, AMAL, base, &format!("{base}"), base + 2).status, 200);
            slowest = slowest.max(in_force(&fleet, &all, base + 1));
        }
        let spent = quiet * start.elapsed().as_secs_f64();
        let change = (sent_bytes(&fleet) - before - spent) / CHANGES as f64;
        println!("{size} instances: {quiet:.0} bytes/s, {change:.0} bytes a change, {slowest:?}");
        assert!(quiet < 600.0, "{size} instances sent {quiet} bytes/s each");
        assert!(change < 6000.0, "{size} instances sent {change} bytes a change each");
        assert!(slowest <= HEALTHY, "{slowest:?}");
    }
}
