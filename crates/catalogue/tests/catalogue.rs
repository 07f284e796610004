//! Validation of drafts, lookups of routes and callers in a catalogue, and the state machine that
//! stores the newest document.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use catalogue::{
    Account, Caller, Catalogue, Command, Document, Draft, Error, Limits, Newest, Number, Outcome,
    Repeat, Route, Service, Target,
};
use state::{Index, Machine};
use test_case::test_case;

fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "api.example".to_string(),
        prefix: prefix.to_string(),
        repeat: Repeat::Whole,
        is_streaming: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        pause: Duration::ZERO,
        rank: 1,
        targets: vec![Target { service: service.parse().unwrap(), weight: 1 }],
        attempts: 2,
        is_anonymous: false,
        has_prompt: false,
    }
}

fn account(name: &str, keys: &[&str]) -> Account {
    let keys = keys.iter().map(|key| (*key).to_string()).collect();
    Account { name: name.parse().unwrap(), keys, rank: None }
}

fn draft() -> Draft {
    let service = |name: &str| Service {
        name: name.parse().unwrap(),
        connections: 8,
        engine: None,
        cold: None,
    };
    Draft {
        number: Number(7),
        routes: vec![
            route("all", "/", "shop"),
            route("albums", "/albums/", "shop"),
            route("old", "/albums/old/", "archive"),
        ],
        services: vec![service("shop"), service("archive")],
        accounts: Some(vec![account("family", &["k1", "k2"]), account("surveyor", &["k3"])]),
        limits: Limits {
            head_bytes: 1024,
            body_bytes: 1024,
            receive: Duration::from_secs(1),
            idle: Duration::from_secs(1),
        },
    }
}

#[test_case("/albums/old/3", Some("old"); "longest prefix")]
#[test_case("/albums/3", Some("albums"); "middle prefix")]
#[test_case("/album", Some("all"); "a prefix ends at its slash")]
#[test_case("albums", None; "no prefix")]
fn the_longest_prefix_wins(path: &str, expected: Option<&str>) {
    let catalogue = Catalogue::try_from(draft()).unwrap();
    let found = catalogue.route("api.example", path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
    assert!(catalogue.route("other.example", path).is_none());
}

#[test]
fn an_api_key_identifies_its_account() {
    let catalogue = Catalogue::try_from(draft()).unwrap();
    let Caller::Known(account) = catalogue.caller(Some("k2")) else { unreachable!() };
    assert_eq!(account.name.as_str(), "family");
    assert_eq!(catalogue.caller(Some("k9")), Caller::Unknown);
    assert_eq!(catalogue.caller(None), Caller::Unknown);
    let open = Catalogue::try_from(Draft { accounts: None, ..draft() }).unwrap();
    assert_eq!(open.caller(None), Caller::Anyone);
}

fn validation_error<E>(edit: E) -> Error
where
    E: FnOnce(&mut Draft),
{
    let mut draft = draft();
    edit(&mut draft);
    Catalogue::try_from(draft).err().unwrap()
}

#[test]
fn invalid_drafts_are_rejected() {
    let error =
        validation_error(|draft| draft.routes[0].targets[0].service = "gone".parse().unwrap());
    assert!(matches!(error, Error::UnknownService { .. }));
    let error = validation_error(|draft| draft.routes[1].prefix = "/".to_string());
    assert!(matches!(error, Error::DuplicateRoute { .. }));
    let error = validation_error(|draft| draft.routes[0].targets[0].weight = 0);
    assert!(matches!(error, Error::ZeroTotalWeight { .. }));
    let error = validation_error(|draft| draft.routes[0].timeout = Duration::ZERO);
    assert!(matches!(error, Error::ZeroTimeout { .. }));
    let error = validation_error(|draft| {
        draft.accounts = Some(vec![account("a", &["k"]), account("b", &["k"])])
    });
    assert!(matches!(error, Error::SharedKey { .. }));
}

#[test]
fn weights_split_the_requests_of_a_route() {
    let mut route = route("split", "/", "shop");
    route.targets.push(Target { service: "archive".parse().unwrap(), weight: 3 });
    let to_archive =
        (0..400).filter(|sample| route.service(*sample).unwrap().as_str() == "archive");
    assert_eq!(to_archive.count(), 300);
}

fn apply(newest: &mut Newest, command: &Command) -> Outcome {
    let command = postcard::to_allocvec(command).unwrap();
    postcard::from_bytes(&newest.apply(Index(1), &command)).unwrap()
}

#[test]
fn the_highest_number_wins_and_other_documents_have_no_effect() {
    let mut newest = Newest::default();
    let seven = Document::pack(Number(7), b"seven");
    assert_eq!(apply(&mut newest, &Command::Offer(seven.clone())), Outcome::Held(Number(7)));
    let other = Command::Offer(Document::pack(Number(7), b"another seven"));
    assert_eq!(apply(&mut newest, &other), Outcome::Held(Number(7)));
    let older = Command::Offer(Document::pack(Number(3), b"three"));
    assert_eq!(apply(&mut newest, &older), Outcome::Held(Number(7)));
    assert_eq!(newest.document().text().unwrap(), b"seven");
    assert_eq!(apply(&mut newest, &Command::Read), Outcome::Held(Number(7)));
    let mut restored = Newest::default();
    assert!(restored.restore(&newest.snapshot()));
    assert_eq!(restored.document(), &seven);
}
