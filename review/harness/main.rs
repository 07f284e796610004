//! Starts a small deployment of `turmericrelay platform` on loopback addresses, with stand-ins for
//! clients, workers and the platform, and plays one case. Uses the standard library only.
//!
//! harness CASE FOLDER   plays a case; writes FOLDER/record.txt; exits with 1 if the rule was
//!                       broken, 0 if it held, 2 if the case could not run
//! harness worker ...    one stand-in worker (a process of its own, so that it can be killed)

mod cases;
mod fleet;
mod http;
mod proxy;
mod record;
mod worker;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().map(String::as_str) == Some("worker") {
        worker::run(&arguments[1..]);
        return;
    }
    let (Some(case), Some(folder)) = (arguments.first(), arguments.get(1)) else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = || cases::play(case, &PathBuf::from(folder), is_troubled);
    let outcome = std::panic::catch_unwind(play).unwrap_or_else(|_| Err("it panicked".into()));
    std::process::exit(match outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            2
        }
    });
}
