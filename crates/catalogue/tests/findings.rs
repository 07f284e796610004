//! Findings in catalogues and differences between them. Each kind of finding is tested with an entry
//! that has it and with one that nearly has it and works.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use catalogue::{
    Account, Catalogue, Cold, Draft, Engine, Limits, Number, Repeat, Route, Service, Target,
    Transfer, differences, findings, outdated,
};
use test_case::test_case;

fn target(service: &str, weight: u32) -> Target {
    Target { service: service.parse().unwrap(), weight }
}

fn service(name: &str) -> Service {
    Service { name: name.parse().unwrap(), connections: 8, engine: None, cold: None }
}

fn account(name: &str, keys: &[&str]) -> Account {
    let keys = keys.iter().map(|key| (*key).to_string()).collect();
    Account { name: name.parse().unwrap(), keys, rank: None }
}

/// Returns a draft with one route, `all` at `api.example/albums/`, to its only service.
fn draft() -> Draft {
    Draft {
        number: Number(7),
        routes: vec![Route {
            name: "all".to_string(),
            host: "api.example".to_string(),
            prefix: "/albums/".to_string(),
            repeat: Repeat::Whole,
            is_streaming: false,
            timeout: Duration::from_secs(1),
            objective: Duration::from_millis(300),
            pause: Duration::ZERO,
            rank: 1,
            targets: vec![target("shop", 1)],
            attempts: 2,
            is_anonymous: false,
            has_prompt: false,
        }],
        services: vec![service("shop")],
        accounts: Some(vec![account("family", &["secret-1", "secret-2"])]),
        limits: Limits {
            head_bytes: 1024,
            body_bytes: 1024,
            receive: Duration::from_secs(1),
            idle: Duration::from_secs(1),
        },
    }
}

/// Returns the catalogue of the draft that `change` has changed.
fn catalogue(change: fn(&mut Draft)) -> Catalogue {
    let mut draft = draft();
    change(&mut draft);
    Catalogue::try_from(draft).unwrap()
}

fn found(change: fn(&mut Draft), memory_bytes: Option<usize>) -> Vec<String> {
    let findings = findings(&catalogue(change), memory_bytes);
    findings.iter().map(|finding| format!("{}: {}", finding.entry, finding.problem)).collect()
}

#[test_case(
    |draft| draft.routes[0].targets.push(target("shop", 0)),
    |draft| draft.routes[0].targets.push(target("shop", 1)),
    "route \"all\": the weight of service \"shop\" is 0"; "target of weight 0"
)]
#[test_case(
    |draft| draft.limits.head_bytes = "api.example/albums/".len() - 1,
    |draft| draft.limits.head_bytes = "api.example/albums/".len(),
    "route \"all\": host and prefix have 19 bytes, more than the 18 bytes"; "location above the limit on heads"
)]
#[test_case(
    |draft| draft.routes[0].prefix = "/albums/?page=/".to_string(),
    |draft| draft.routes[0].prefix = "/albums/%3Fpage=/".to_string(),
    "route \"all\": the prefix has a character"; "prefix with a query"
)]
#[test_case(
    |draft| draft.routes[0].prefix = "/my albums/".to_string(),
    |draft| draft.routes[0].prefix = "/my%20albums/".to_string(),
    "route \"all\": the prefix has a character"; "prefix with a space"
)]
#[test_case(
    |draft| draft.routes[0].host = "api.example:80".to_string(),
    |draft| draft.routes[0].host = "api.example".to_string(),
    "route \"all\": the host has a port"; "host with a port"
)]
#[test_case(
    |draft| draft.routes[0].objective = Duration::from_millis(1001),
    |draft| draft.routes[0].objective = Duration::from_millis(1000),
    "route \"all\": the objective (1.001s) is above the timeout (1s)"; "objective above the timeout"
)]
#[test_case(
    |draft| draft.accounts = Some(Vec::new()),
    |draft| draft.accounts = None,
    "route \"all\": it needs an API key"; "no account"
)]
#[test_case(
    |draft| draft.accounts = Some(Vec::new()),
    |draft| (draft.accounts, draft.routes[0].is_anonymous) = (Some(Vec::new()), true),
    "route \"all\": it needs an API key"; "no account for a route that needs one"
)]
#[test_case(
    |draft| draft.services.push(service("archive")),
    |draft| {
        draft.services.push(service("archive"));
        draft.routes[0].targets.push(target("archive", 1));
    },
    "service \"archive\": no route leads to it"; "service without a route"
)]
#[test_case(
    |draft| draft.accounts.as_mut().unwrap().push(account("surveyor", &[])),
    |draft| draft.accounts.as_mut().unwrap().push(account("surveyor", &["secret-3"])),
    "client account \"surveyor\": it has no keys"; "account without keys"
)]
fn an_entry_without_the_intended_effect_is_found(
    wrong: fn(&mut Draft),
    right: fn(&mut Draft),
    text: &str,
) {
    let wrong = found(wrong, None);
    assert!(wrong.len() == 1 && wrong[0].starts_with(text), "{wrong:?}");
    let right = found(right, None);
    assert!(right.is_empty(), "{right:?}");
}

#[test_case(|draft| draft.limits.head_bytes = 4097, "heads of 4097 bytes"; "heads")]
#[test_case(|draft| draft.limits.body_bytes = 4097, "bodies of 4097 bytes"; "bodies")]
fn a_limit_above_the_memory_of_an_instance_is_found(wrong: fn(&mut Draft), text: &str) {
    let with_little_memory = found(wrong, Some(8193));
    assert_eq!(with_little_memory.len(), 1, "{with_little_memory:?}");
    assert!(with_little_memory[0].contains(text), "{with_little_memory:?}");
    assert!(found(wrong, Some(8194)).is_empty());
    assert!(found(wrong, None).is_empty(), "the memory is unknown");
}

#[test]
fn a_changed_document_whose_number_is_not_higher_is_found() {
    let before = catalogue(|_| ());
    let changed = catalogue(|draft| draft.routes[0].attempts = 3);
    let newer = catalogue(|draft| (draft.number, draft.routes[0].attempts) = (Number(8), 3));
    assert!(outdated(&before, &changed).is_some());
    assert!(outdated(&before, &newer).is_none());
    assert!(outdated(&before, &before).is_none(), "a resent document is no fault");
}

fn difference_texts(before: &Catalogue, after: &Catalogue) -> Vec<String> {
    differences(before, after).iter().map(ToString::to_string).collect()
}

#[test]
fn differences_name_what_is_added_removed_and_changed() {
    let before = catalogue(|draft| {
        draft.services.push(service("archive"));
        draft.routes[0].targets.push(target("archive", 1));
        let engine = Engine { slots: 2, memory_tokens: 100, transfer: None };
        draft.services[0].engine = Some(engine);
    });
    let after = catalogue(|draft| {
        draft.number = Number(8);
        draft.limits.body_bytes = 2048;
        draft.routes[0].timeout = Duration::from_millis(1500);
        draft.routes[0].targets.push(target("new", 3));
        let mut route = draft.routes[0].clone();
        (route.name, route.prefix) = ("more".to_string(), "/more/".to_string());
        draft.routes.push(route);
        draft.services.push(service("new"));
        let transfer = Transfer { token_bytes: 4, bytes_per_second: 1000 };
        let engine = Engine { slots: 2, memory_tokens: 100, transfer: Some(transfer) };
        draft.services[0].engine = Some(engine);
        draft.services[0].cold = Some(Cold { duration: Duration::from_secs(5), per_second: 2.5 });
        draft.accounts = Some(vec![account("surveyor", &["secret-1"])]);
    });
    let expected = [
        "limits: body bytes 1024 -> 2048",
        "route \"all\": timeout 1s -> 1.5s, targets shop (1) + archive (1) -> shop (1) + new (3)",
        "route \"more\": added",
        "service \"archive\": removed",
        "service \"new\": added",
        "service \"shop\": engine (2 slots, 100 tokens, no transfer) -> (2 slots, 100 tokens, \
         transfer of 4 bytes per token at 1000 bytes per second), cold none -> (5s, 2.5 per second)",
        "client account \"family\": removed",
        "client account \"surveyor\": added",
    ];
    assert_eq!(difference_texts(&before, &after), expected);
    assert!(difference_texts(&after, &after).is_empty());
}

#[test]
fn differences_of_accounts_contain_no_keys() {
    let before = catalogue(|_| ());
    let other_keys =
        catalogue(|draft| draft.accounts = Some(vec![account("family", &["secret-1"])]));
    let changed = difference_texts(&before, &other_keys);
    assert_eq!(changed, ["client account \"family\": keys changed"]);
    let sorted_keys = catalogue(|draft| {
        draft.accounts = Some(vec![account("family", &["secret-2", "secret-1"])]);
    });
    assert!(difference_texts(&before, &sorted_keys).is_empty(), "the order has no effect");
    let open = catalogue(|draft| draft.accounts = None);
    let expected = ["client accounts: needed true -> false", "client account \"family\": removed"];
    assert_eq!(difference_texts(&before, &open), expected);
}

#[test]
fn entries_with_the_same_name_are_compared_together() {
    let twice = |draft: &mut Draft| {
        let mut route = draft.routes[0].clone();
        route.prefix = "/more/".to_string();
        draft.routes.push(route);
    };
    let before = catalogue(twice);
    assert!(difference_texts(&before, &catalogue(twice)).is_empty());
    assert_eq!(difference_texts(&before, &catalogue(|_| ())), ["route \"all\": changed"]);
}

#[test]
fn all_errors_of_a_draft_are_reported_and_the_first_one_is_that_of_its_validation() {
    let mut draft = draft();
    draft.routes[0].targets = vec![target("a", 0), target("b", 0)];
    draft.routes[0].timeout = Duration::ZERO;
    draft.services.push(service("shop"));
    draft.accounts = Some(vec![account("family", &["k"]), account("surveyor", &["k"])]);
    let errors: Vec<String> = draft.errors().iter().map(ToString::to_string).collect();
    assert_eq!(errors.len(), 6, "{errors:?}");
    for part in ["declared twice", "timeout", "\"a\"", "\"b\"", "add up to 0", "same API key"] {
        assert_eq!(errors.iter().filter(|text| text.contains(part)).count(), 1, "{errors:?}");
    }
    assert_eq!(Catalogue::try_from(draft).err().unwrap().to_string(), errors[0]);
}
