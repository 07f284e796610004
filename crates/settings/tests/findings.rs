//! Findings in settings. Each kind of finding is tested with a value that has it and with one that
//! nearly has it and works.

#![allow(clippy::unwrap_used)]

use settings::{Settings, findings};
use test_case::test_case;

const VALID: &str = r#"
instance: giza-1
data_centre: giza
roles: [entry]
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3"}
fleet_secrets: [a-random-text-of-32-characters--]
"#;

/// Returns the fields with findings in settings with `additions`.
fn found_fields(additions: &str) -> Vec<&'static str> {
    let settings = Settings::try_from(format!("{VALID}{additions}\n")).unwrap();
    findings(&settings).iter().map(|finding| finding.field).collect()
}

#[test]
fn default_settings_have_no_findings() {
    assert!(found_fields("").is_empty());
}

#[test_case("limits.head", "limits: {head: 65MiB, memory: 128MiB}", "limits: {head: 64MiB, memory: 128MiB}"; "head above the memory")]
#[test_case("limits.body", "limits: {body: 65MiB, incoming: 65MiB, memory: 128MiB}", "limits: {body: 64MiB, incoming: 64MiB, memory: 128MiB}"; "body above the memory")]
#[test_case("limits.incoming", "limits: {incoming: 4095KiB}", "limits: {incoming: 4096KiB}"; "incoming requests below a body")]
#[test_case("limits.incoming", "limits: {body: 33MiB}", "limits: {body: 32MiB}"; "body above all incoming requests")]
#[test_case("limits.unread", "limits: {unread: 2MiB, unread_total: 1MiB}", "limits: {unread: 1MiB, unread_total: 1MiB}"; "unread output of one caller above that of all")]
#[test_case("limits.unread", "limits: {unread: 33MiB}", "limits: {unread_total: 1KiB}"; "unread output above the default for all")]
#[test_case("timing.connect", "timing: {connect: 3s, drain: 2s}", "timing: {connect: 2s, drain: 2s}"; "connection timeout above the shutdown")]
#[test_case("timing.connect", "timing: {drain: 999ms}", "timing: {drain: 0s}"; "shutdown without waiting")]
#[test_case("direct.load_bound", "direct: {load_bound: 1}", "direct: {load_bound: 1.01}"; "load bound of the mean")]
#[test_case("direct.load_bound", "direct: {load_bound: .nan}", "direct: {load_bound: 2}"; "load bound that is no number")]
#[test_case("direct.cold_excess", "direct: {cold_excess: 1.5}", "direct: {cold_excess: 1.5, cold_slack: 0}"; "excess of cold upstreams alone")]
#[test_case("direct.cold_slack", "direct: {cold_slack: 2}", "direct: {cold_excess: 0, cold_slack: 2}"; "slack of cold upstreams alone")]
fn a_contradiction_is_found(field: &str, wrong: &str, right: &str) {
    assert_eq!(found_fields(wrong), [field]);
    assert!(found_fields(right).is_empty());
}

/// On the platform, documents replace the limits of heads and bodies, and the connection timeout is
/// not used.
#[test_case("limits: {incoming: 1MiB}"; "incoming requests")]
#[test_case("limits: {body: 2GiB, incoming: 2GiB}"; "body")]
#[test_case("limits: {head: 2GiB}"; "head")]
#[test_case("timing: {connect: 9s, drain: 2s}"; "connection timeout")]
fn values_without_effect_on_the_platform_are_no_findings_there(additions: &str) {
    assert!(!found_fields(additions).is_empty());
    assert!(found_fields(&format!("{additions}\nseeds: [\"127.0.0.2:3\"]")).is_empty());
}
