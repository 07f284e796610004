//! Stand-ins and scripts of the second review. `case NAME FOLDER` runs a case and writes its record
//! into the folder; `worker ...` is a worker that a case has started.

mod cases;
mod fleet;
mod http;
mod proxy;
mod record;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("worker") => worker::run(&arguments[1..]),
        Some("case") if arguments.len() == 3 => cases::run(&arguments[1], &arguments[2]),
        _ => {
            eprintln!("usage: harness case NAME FOLDER");
            2
        }
    };
    std::process::exit(code);
}
