//! `fleet`: lists instances and upstreams.

use bpaf::{Parser, construct};
use serde_json::{Value, json};

use crate::fleet::{self, Fleet};
use crate::table::{Table, cell, print_json};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Lists instances with their revision in force and load, and known upstreams";
const EXAMPLES: &str = "Example: turmericrelay fleet --instance 10.0.0.1:8081 --json";

struct List {
    json: bool,
    fleet: Fleet,
}

pub(crate) fn entry() -> Entry {
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(List { json, fleet })
        .map(|list| -> Box<dyn Command> { Box::new(list) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("fleet")
        .help(HELP)
        .boxed()
}

fn print_rows(columns: &[&str], rows: &Value) {
    let mut table = Table::new(columns);
    for row in rows.as_array().map_or(&[][..], Vec::as_slice) {
        table.push(columns.iter().map(|column| cell(row, column)).collect());
    }
    table.print();
}

impl Command for List {
    fn run(&self) -> Result<Exit, Error> {
        let instances = self.fleet.get("/fleet")?;
        let upstreams = self.fleet.get("/upstreams")?;
        if self.json {
            let instances = &instances["instances"];
            print_json(&json!({ "instances": instances, "upstreams": upstreams }));
            return Ok(Exit::Done);
        }
        let columns = ["instance", "data_centre", "answers", "revision", "active_requests"];
        print_rows(&columns, &instances["instances"]);
        println!();
        let columns = ["upstream", "data_centre", "address", "slots", "in_flight", "running"];
        let flags = ["waiting", "is_leaving", "is_drained"];
        print_rows(&[columns.as_slice(), &flags].concat(), &upstreams);
        Ok(Exit::Done)
    }
}
