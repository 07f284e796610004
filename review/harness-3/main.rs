//! Stand-ins and cases of the third review.
//!
//! `harness CASE FOLDER` plays a case against the project's program and writes FOLDER/record.txt. It
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` the case is played without its disruption.

mod cases;
mod fleet;
mod http;
mod record;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    let name = if arguments.is_empty() { String::new() } else { arguments.remove(0) };
    match name.as_str() {
        "worker" => ExitCode::from(u8::from(worker::run(&arguments).is_err())),
        _ => {
            let folder = fleet::case_folder(arguments.into_iter().next());
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            cases::play(&name, &folder, has_trouble)
        }
    }
}
