//! `fleet`: lists the instances and upstreams of the fleet.

use bpaf::{Parser, construct};
use serde_json::{Value, json};

use crate::fleet::{self, FleetClient};
use crate::table::{Table, field_text, print_json};
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Lists instances with their revision in force and load, and known upstreams";
const EXAMPLES: &str = "Example: turmericrelay fleet --instance 10.0.0.1:8081 --json";

struct FleetList {
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(FleetList { json, fleet })
        .map(|fleet_list| -> Box<dyn Command> { Box::new(fleet_list) })
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
        table.push(columns.iter().map(|column| field_text(row, column)).collect());
    }
    table.print();
}

impl Command for FleetList {
    fn run(&self) -> Result<Exit, Error> {
        let instances = self.fleet.get("/fleet")?;
        let upstreams = self.fleet.get("/upstreams")?;
        if self.json {
            let instances = &instances["instances"];
            print_json(&json!({ "instances": instances, "upstreams": upstreams }));
            return Ok(Exit::Success);
        }
        let columns = ["instance", "data_centre", "answers", "revision", "active_requests"];
        print_rows(&columns, &instances["instances"]);
        println!();
        let columns = ["upstream", "data_centre", "owner", "address", "slots", "in_flight"];
        let load_columns = ["running", "waiting", "is_leaving", "is_drained"];
        print_rows(&[columns.as_slice(), &load_columns].concat(), &upstreams);
        Ok(Exit::Success)
    }
}
