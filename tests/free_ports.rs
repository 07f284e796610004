//! Addresses that tests hand to instances stay free while other tests start processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use support::{PROGRAM, free_address, output};

const STARTERS: usize = 4;
const ADDRESSES: usize = 20_000;

#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    output(Command::new(PROGRAM).arg("--version"));
                }
            });
        }
        let taken = (0..ADDRESSES).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {ADDRESSES} addresses");
    });
}
