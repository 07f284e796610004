//! Checks that addresses given to instances stay free while other tests start processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use support::{PROGRAM, free_address, output};

const SPAWNING_THREADS: usize = 4;
const ADDRESS_COUNT: usize = 20_000;

#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    let is_finished = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                while !is_finished.load(Ordering::Relaxed) {
                    output(Command::new(PROGRAM).arg("--version"));
                }
            });
        }
        let unavailable =
            (0..ADDRESS_COUNT).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        is_finished.store(true, Ordering::Relaxed);
        assert_eq!(unavailable, 0, "of {ADDRESS_COUNT} addresses could not be bound");
    });
}
