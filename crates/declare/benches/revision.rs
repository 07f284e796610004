//! Cost of a change of one client account, by the number of declared accounts.

#![allow(clippy::unwrap_used)]

use declare::{Apply, Command, Declarations, Document, Moment, Origin, Revision, Revisions, View};
use divan::Bencher;
use state::Machine;

const ACCOUNTS: [usize; 3] = [10, 570, 5700];

fn main() {
    for accounts in ACCOUNTS {
        let document = document(accounts, 1);
        let view = view_of(&machine(accounts));
        let changes = postcard::to_allocvec(&document.changes_to(&self::document(accounts, 2)));
        println!(
            "{accounts} accounts: complete content {} bytes, one change {} bytes",
            view.to_bytes().len(),
            changes.unwrap().len()
        );
    }
    divan::main();
}

fn document(accounts: usize, weight: u64) -> Document {
    let mut text = String::from("client_accounts:\n");
    for account in 0..accounts {
        let weight = if account == 0 { weight } else { 1 };
        text += &format!(
            "  - {{name: account-{account}, keys: [\"{account:064x}\"], weight: {weight}, \
             labels: {{region: giza}}}}\n"
        );
    }
    (&Declarations::try_from(text).unwrap()).try_into().unwrap()
}

fn apply_command(machine: &Revisions, content: &Document) -> Command {
    let base = machine.revision();
    let origin = Origin {
        order: format!("order-{base}").parse().unwrap(),
        operator: "amal".parse().unwrap(),
        at: Moment(0),
    };
    let changes = Some(machine.document().changes_to(content));
    Command::Apply(Apply { origin, base, mark: content.mark(), changes })
}

fn machine(accounts: usize) -> Revisions {
    let mut machine = Revisions::default();
    let command = apply_command(&machine, &document(accounts, 1));
    machine.execute(command);
    assert_eq!(machine.revision(), Revision(1));
    machine
}

fn view_of(machine: &Revisions) -> View {
    let mut view = View::default();
    view.follow(machine);
    view
}

#[divan::bench(args = ACCOUNTS)]
fn apply_one_change(bencher: Bencher, accounts: usize) {
    let machine = machine(accounts);
    let command = apply_command(&machine, &document(accounts, 2));
    bencher
        .with_inputs(|| (machine.clone(), command.clone()))
        .bench_local_values(|(mut machine, command)| machine.execute(command));
}

#[divan::bench(args = ACCOUNTS)]
fn decode_declarations(bencher: Bencher, accounts: usize) {
    let document = document(accounts, 1);
    bencher.bench_local(|| Declarations::try_from(&document).unwrap());
}

#[divan::bench(args = ACCOUNTS)]
fn decode_view(bencher: Bencher, accounts: usize) {
    let bytes = view_of(&machine(accounts)).to_bytes();
    bencher.bench_local(|| View::from_bytes(&bytes).unwrap());
}

#[divan::bench(args = ACCOUNTS)]
fn snapshot(bencher: Bencher, accounts: usize) {
    let machine = machine(accounts);
    bencher.bench_local(|| machine.snapshot());
}

#[divan::bench(args = ACCOUNTS)]
fn find_account_of_key(bencher: Bencher, accounts: usize) {
    let declarations = Declarations::try_from(&document(accounts, 1)).unwrap();
    bencher.bench_local(|| declarations.account_of_key("a key of nobody").is_none());
}
