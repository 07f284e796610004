//! Checks that declarations applied through any instance are in force at all of them, with a quorum
//! of voters, while instances are killed, frozen and partitioned and orders are resent.

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
    AMAL_TOKEN, BERT_TOKEN, Fleet, MAX_PROPAGATION_TIME, MAX_RECOVERY_TIME, Plan, Reply, apply,
    declarations, declarations_with_weight, get, get_as_operator, operators, plan_with_operators,
    revision, revision_at, try_order, wait_for, wait_until_in_force,
};

const DATA_CENTRES: [&str; 6] = ["giza", "cairo", "delta", "giza", "cairo", "delta"];
const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Returns the plan of six instances in three data centres, of which the first three are voters.
fn fleet_plan() -> Plan {
    plan_with_operators(&DATA_CENTRES).with_voters(3)
}

/// Sends an order through the instances in turn, as the commands do, until its outcome is known.
fn send_order(fleet: &Fleet, first: usize, token: &str, base: u64, id: &str, weight: u64) -> Reply {
    let path = format!("/declarations?base={base}&order={id}");
    let mut index = first;
    wait_for("outcome of an order", || {
        let reply =
            try_order(operators(fleet, index), token, &path, &declarations_with_weight(weight));
        index = (index + 1) % fleet.instances.len();
        reply.filter(|reply| !matches!(reply.status, 503 | 504))
    })
}

fn wait_for_leader(fleet: &Fleet) -> usize {
    wait_for("election of a leader", || {
        (0..3).find(|index| {
            let status = get(operators(fleet, *index), "/state").unwrap_or_default();
            status.contains("\"role\":\"leader\"")
        })
    })
}

#[test]
fn an_order_through_any_instance_is_in_force_everywhere_within_the_time_limit() {
    let fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    for (base, index) in ALL.iter().enumerate() {
        let reply =
            send_order(&fleet, *index, AMAL_TOKEN, base as u64, &format!("order-{base}"), 2);
        assert_eq!(reply.status, 200, "{reply:?}");
        let elapsed = wait_until_in_force(&fleet, &ALL, base as u64 + 1);
        println!("through instance {index}: in force at 6 instances after {elapsed:?}");
        assert!(elapsed <= MAX_PROPAGATION_TIME, "{elapsed:?}");
    }
    let audit = get_as_operator(operators(&fleet, 5), "/declarations/audit").body;
    assert_eq!(audit["audit"].as_array().unwrap().len(), 6);
}

#[test]
fn concurrent_orders_through_different_instances_never_share_a_revision() {
    let fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    for base in 0..8 {
        let replies: Vec<Reply> = std::thread::scope(|scope| {
            let threads: Vec<_> = ALL
                .iter()
                .map(|index| {
                    let (fleet, order) = (&fleet, format!("{base}-{index}"));
                    let token = if index % 2 == 0 { AMAL_TOKEN } else { BERT_TOKEN };
                    scope.spawn(move || send_order(fleet, *index, token, base, &order, base + 3))
                })
                .collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let accepted: Vec<&Reply> = replies.iter().filter(|reply| reply.status == 200).collect();
        assert_eq!(accepted.len(), 1, "{replies:?}");
        for rejected in replies.iter().filter(|reply| reply.status != 200) {
            let winner = &rejected.body["error"]["more"]["winner"];
            assert_eq!((rejected.status, &winner["order"]), (409, &accepted[0].body["order"]));
        }
    }
}

#[test]
fn a_resend_through_another_instance_after_a_leader_change_gets_the_original_answer() {
    let mut fleet = Fleet::start_plan(fleet_plan());
    let former_leader = wait_for_leader(&fleet);
    assert_eq!(send_order(&fleet, 3, AMAL_TOKEN, 0, "first", 2).status, 200);
    assert_eq!(send_order(&fleet, 4, AMAL_TOKEN, 1, "second", 3).status, 200);
    fleet.kill(former_leader);
    let start = Instant::now();
    let resent = send_order(&fleet, 5, AMAL_TOKEN, 0, "first", 2);
    assert_eq!((resent.status, resent.body["revision"].as_u64()), (200, Some(1)), "{resent:?}");
    assert_eq!(send_order(&fleet, 5, BERT_TOKEN, 2, "third", 4).status, 200);
    let survivors: Vec<usize> = ALL.into_iter().filter(|index| *index != former_leader).collect();
    wait_until_in_force(&fleet, &survivors, 3);
    fleet.restart(former_leader);
    wait_until_in_force(&fleet, &[former_leader], 3);
    println!("leader killed, order committed, former leader restarted after {:?}", start.elapsed());
    assert!(start.elapsed() <= MAX_RECOVERY_TIME);
    let other = send_order(&fleet, former_leader, AMAL_TOKEN, 3, "first", 9);
    assert_eq!(other.status, 409, "{other:?}");
}

#[test]
fn a_voter_that_was_down_catches_up_on_hundreds_of_revisions() {
    let mut fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    assert_eq!(send_order(&fleet, 0, AMAL_TOKEN, 0, "order-0", 2).status, 200);
    wait_until_in_force(&fleet, &ALL, 1);
    fleet.kill(2);
    fleet.kill(5);
    for base in 1..300 {
        let reply = send_order(&fleet, 3, AMAL_TOKEN, base, &format!("order-{base}"), base + 2);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    fleet.restart(2);
    fleet.restart(5);
    let elapsed = wait_until_in_force(&fleet, &ALL, 300);
    println!("300 revisions while down: in force {elapsed:?} after the restart");
    assert!(elapsed <= MAX_RECOVERY_TIME, "{elapsed:?}");
    let history = get_as_operator(operators(&fleet, 2), "/declarations/history").body;
    assert_eq!(history["current"], 300);
}

#[test]
fn a_partitioned_data_centre_keeps_its_revision_and_refuses_orders() {
    let fleet = Fleet::start_plan(fleet_plan().with_proxies());
    wait_for_leader(&fleet);
    assert_eq!(send_order(&fleet, 0, AMAL_TOKEN, 0, "order-0", 2).status, 200);
    wait_until_in_force(&fleet, &ALL, 1);
    fleet.set_partition(&[2, 5], true);
    assert_eq!(send_order(&fleet, 0, AMAL_TOKEN, 1, "order-1", 3).status, 200);
    wait_until_in_force(&fleet, &[0, 1, 3, 4], 2);
    assert_eq!((revision(&fleet, 2), revision(&fleet, 5)), (Some(1), Some(1)));
    let refused = apply(&fleet, 5, BERT_TOKEN, 1, "order-cut", 9);
    assert!(matches!(refused.status, 503 | 504), "{refused:?}");
    fleet.set_partition(&[2, 5], false);
    let elapsed = wait_until_in_force(&fleet, &ALL, 2);
    println!("in force {elapsed:?} after the partition healed");
    assert!(elapsed <= MAX_RECOVERY_TIME, "{elapsed:?}");
    let resent = send_order(&fleet, 5, BERT_TOKEN, 1, "order-cut", 9);
    assert_eq!(resent.status, 409, "{resent:?}");
}

#[test]
fn a_frozen_instance_catches_up_when_it_resumes() {
    let fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    for frozen in [4, wait_for_leader(&fleet)] {
        let base = revision(&fleet, 3).unwrap();
        fleet.instances[frozen].process.signal("STOP");
        for number in 0..20 {
            let reply = send_order(
                &fleet,
                3,
                AMAL_TOKEN,
                base + number,
                &format!("{frozen}-{number}"),
                number,
            );
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        fleet.instances[frozen].process.signal("CONT");
        let elapsed = wait_until_in_force(&fleet, &ALL, base + 20);
        println!("instance {frozen} was frozen: in force {elapsed:?} after it resumed");
        assert!(elapsed <= MAX_RECOVERY_TIME, "{elapsed:?}");
    }
}

#[test]
fn an_instance_killed_while_storing_never_returns_to_an_older_revision() {
    const SEED: u64 = 7;
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    let mut base = 0;
    for round in 0..12 {
        let victim = random.random_range(3..6);
        let last_revision = std::thread::scope(|scope| {
            let order_thread = scope.spawn(|| {
                for number in 0..8 {
                    let order = format!("{round}-{number}");
                    let reply =
                        send_order(&fleet, number % 3, AMAL_TOKEN, base + number as u64, &order, 2);
                    assert_eq!(reply.status, 200, "{reply:?}");
                }
            });
            std::thread::sleep(Duration::from_millis(random.random_range(0..60)));
            let last_revision = revision(&fleet, victim).unwrap();
            fleet.instances[victim].process.signal("KILL");
            order_thread.join().unwrap();
            last_revision
        });
        base += 8;
        fleet.restart(victim);
        let first_revision =
            wait_for("first answer of a ready instance", || revision(&fleet, victim));
        assert!(
            first_revision >= last_revision,
            "seed {SEED}, round {round}: revision {first_revision} after {last_revision}"
        );
        wait_until_in_force(&fleet, &ALL, base);
    }
}

#[test]
fn a_revision_that_cannot_be_stored_is_in_force_and_logged() {
    let mut fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    fleet.kill(4);
    let folder = fleet.data_folder("instance-5").join("declarations");
    std::fs::remove_dir_all(&folder).ok();
    std::fs::create_dir_all(folder.parent().unwrap()).unwrap();
    std::fs::write(&folder, "a file in the place of the folder").unwrap();
    fleet.restart(4);
    assert_eq!(send_order(&fleet, 4, AMAL_TOKEN, 0, "first", 2).status, 200);
    wait_until_in_force(&fleet, &ALL, 1);
    let log = fleet.instances[4].process.log_text();
    assert!(log.contains("revision 1 is not stored: "), "{log}");
    fleet.restart(4);
    let first_revision = wait_for("first answer of a ready instance", || revision(&fleet, 4));
    assert_eq!(first_revision, 1, "the instance returned to an older revision");
}

#[test]
fn an_import_of_thousands_of_accounts_and_a_later_change_are_in_force_in_time() {
    let fleet = Fleet::start_plan(fleet_plan());
    wait_for_leader(&fleet);
    let accounts: String = (0..5700)
        .map(|account| format!("  - {{name: account-{account}, keys: [\"{account:064x}\"]}}\n"))
        .collect();
    let text = format!("{}{accounts}", declarations());
    let path = "/declarations?base=0&order=import";
    let reply = try_order(operators(&fleet, 3), AMAL_TOKEN, path, &text).unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    let imported = wait_until_in_force(&fleet, &ALL, 1);
    let changed_text = text.replace("name: account-77,", "name: account-77, weight: 9,");
    let path = "/declarations?base=1&order=one";
    assert_eq!(
        try_order(operators(&fleet, 4), AMAL_TOKEN, path, &changed_text).unwrap().status,
        200
    );
    let elapsed = wait_until_in_force(&fleet, &ALL, 2);
    println!(
        "{} bytes of YAML: in force after {imported:?}, a change after {elapsed:?}",
        text.len()
    );
    assert!(imported.max(elapsed) <= MAX_RECOVERY_TIME, "{imported:?} {elapsed:?}");
    let audit = get_as_operator(operators(&fleet, 5), "/declarations/audit?limit=1").body;
    assert_eq!(audit["audit"][0]["changes"][0], "client account \"account-77\": weight 1 -> 9");
}

/// Reads the revision of every instance until `stop` is set, and fails if an instance returns to an
/// older one. The thread returns the number of revisions read.
fn watch_revisions(
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut highest = vec![0; addresses.len()];
        let mut read_count = 0;
        while !stop.load(Ordering::Relaxed) {
            for (index, address) in addresses.iter().enumerate() {
                if let Some(revision) = revision_at(*address) {
                    assert!(
                        revision >= highest[index],
                        "instance {index} returned to an older revision"
                    );
                    highest[index] = revision;
                    read_count += 1;
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        read_count
    })
}

/// Kills or partitions random instances while an operator sends orders. Returns the last revision.
fn run_with_random_faults(seed: u64, rounds: usize) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start_plan(fleet_plan().with_proxies());
    wait_for_leader(&fleet);
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_revisions(ALL.map(|index| operators(&fleet, index)).to_vec(), stop.clone());
    let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
    let mut base = 0;
    for round in 0..rounds {
        let victim = random.random_range(0..6);
        let is_kill = random.random_range(0..2) == 0;
        if is_kill {
            fleet.kill(victim);
        } else {
            fleet.set_partition(&[victim], true);
        }
        for number in 0..3 {
            let (first, order) = (random.random_range(0..6), format!("{round}-{number}"));
            let weight = random.random_range(1..100);
            let reply = send_order(&fleet, first, AMAL_TOKEN, base, &order, weight);
            match reply.status {
                200 => {
                    base = reply.body["revision"].as_u64().unwrap();
                    let previous = accepted.insert(base, order);
                    assert_eq!(previous, None, "seed {seed}: two orders got revision {base}");
                }
                status => panic!("seed {seed}: status {status} {}", reply.body),
            }
        }
        if is_kill {
            fleet.restart(victim);
        } else {
            fleet.set_partition(&[victim], false);
        }
        let elapsed = wait_until_in_force(&fleet, &ALL, base);
        assert!(elapsed <= MAX_RECOVERY_TIME, "seed {seed}: {elapsed:?}");
    }
    stop.store(true, Ordering::Relaxed);
    assert!(watcher.join().unwrap() > 0);
    let audit = get_as_operator(operators(&fleet, 0), "/declarations/audit?limit=500").body;
    let records = audit["audit"].as_array().unwrap();
    let audited: BTreeMap<u64, String> = records
        .iter()
        .map(|row| (row["revision"].as_u64().unwrap(), row["order"].as_str().unwrap().to_string()))
        .collect();
    assert_eq!(audited, accepted, "seed {seed}");
    base
}

/// `DECLARE_SEEDS=FROM..TO` sets the seeds to run, `TO` excluded, instead of the one of CI.
#[test]
fn no_accepted_order_is_lost_duplicated_or_reverted_by_kills_and_partitions() {
    let seeds = std::env::var("DECLARE_SEEDS").unwrap_or("1..2".to_string());
    let (first_seed, end_seed) = seeds.split_once("..").unwrap();
    for seed in first_seed.parse::<u64>().unwrap()..end_seed.parse().unwrap() {
        let start = Instant::now();
        let revisions = run_with_random_faults(seed, 5);
        println!("seed {seed}: {revisions} revisions through 5 faults in {:?}", start.elapsed());
    }
}

/// Returns the mean number of bytes that an instance has sent for declarations.
fn mean_sent_bytes(fleet: &Fleet) -> f64 {
    let sent = fleet.instances.iter().map(|instance| {
        let metrics = get(instance.addresses.operators, "/metrics").unwrap();
        let line = metrics.lines().find(|line| {
            line.starts_with("turmericrelay_peer_bytes") && line.contains("\"declare\"")
        });
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap()
    });
    sent.sum::<f64>() / fleet.instances.len() as f64
}

/// `DECLARE_SIZES=6,24,48` sets the fleet sizes to measure instead of those of CI.
#[test]
fn declaration_traffic_per_instance_does_not_grow_with_the_fleet() {
    const IDLE_TIME: Duration = Duration::from_secs(5);
    const CHANGES: u64 = 10;
    let sizes = std::env::var("DECLARE_SIZES").unwrap_or("6,12".to_string());
    for size in sizes.split(',').map(|size| size.parse::<usize>().unwrap()) {
        let data_centres: Vec<&str> = DATA_CENTRES.into_iter().cycle().take(size).collect();
        let fleet = Fleet::start_plan(plan_with_operators(&data_centres).with_voters(3));
        wait_for_leader(&fleet);
        let all: Vec<usize> = (0..size).collect();
        assert_eq!(send_order(&fleet, 0, AMAL_TOKEN, 0, "first", 2).status, 200);
        wait_until_in_force(&fleet, &all, 1);
        let (before, start) = (mean_sent_bytes(&fleet), Instant::now());
        std::thread::sleep(IDLE_TIME);
        let idle_rate = (mean_sent_bytes(&fleet) - before) / start.elapsed().as_secs_f64();
        let (before, start) = (mean_sent_bytes(&fleet), Instant::now());
        let mut slowest = Duration::ZERO;
        for base in 1..=CHANGES {
            assert_eq!(
                send_order(&fleet, 0, AMAL_TOKEN, base, &format!("{base}"), base + 2).status,
                200
            );
            slowest = slowest.max(wait_until_in_force(&fleet, &all, base + 1));
        }
        let idle_bytes = idle_rate * start.elapsed().as_secs_f64();
        let change_bytes = (mean_sent_bytes(&fleet) - before - idle_bytes) / CHANGES as f64;
        println!(
            "{size} instances: {idle_rate:.0} bytes/s, {change_bytes:.0} per change, {slowest:?}"
        );
        assert!(idle_rate < 600.0, "{size} instances sent {idle_rate} bytes/s each");
        assert!(
            change_bytes < 6000.0,
            "{size} instances sent {change_bytes} bytes per change each"
        );
        assert!(slowest <= MAX_PROPAGATION_TIME, "{slowest:?}");
    }
}
