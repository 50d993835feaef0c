//! Routes by host and path: parsing, faults, and the choice of route and backend.

use lentilshift_contract::{FaultKind, FleetContract, RouteIndex};
use model::{CallImportance, ServiceName};
use rstest::rstest;

const TEXT: &str = r#"
[services.archive]
[services.registry]
[teams.clubs]
importance = "high"
rate_per_s = 5
burst = 5
[routes.look-up]
host = "cairns.example"
path = "/records/"
importance = "critical"
idempotent = true
deadline_ms = 900
target_ms = 200
attempts = 2
backends = { archive = 3, registry = 1 }
"#;

fn faults(text: &str) -> Vec<FaultKind> {
    let error = FleetContract::parse("fleet.toml", text).expect_err("the text has a fault");
    error
        .faults()
        .iter()
        .map(|fault| fault.kind().clone())
        .collect()
}

#[test]
fn route_is_parsed_and_serialized() {
    let contract = FleetContract::parse("fleet.toml", TEXT).unwrap();
    let route = &contract.routes["look-up"];
    assert_eq!(
        (route.deadline_ms, route.target_ms, route.attempts),
        (900, 200, 2)
    );
    assert_eq!(route.to_call().importance, CallImportance::Critical);
    assert_eq!(
        contract.teams["clubs"].importance,
        Some(CallImportance::High)
    );
    let written = toml::to_string(&contract).unwrap();
    assert_eq!(FleetContract::parse("again", &written).unwrap(), contract);
}

#[test]
fn shares_follow_the_weights() {
    let contract = FleetContract::parse("fleet.toml", TEXT).unwrap();
    let route = &contract.routes["look-up"];
    let backends = (0..route.total_weight()).filter_map(|point| route.backend_at(point));
    let to_archive = backends.filter(|service| **service == ServiceName::new("archive"));
    assert_eq!(to_archive.count(), 3);
    assert_eq!(route.backend_at(route.total_weight()), None);
}

#[rstest]
#[case("host = \"cairns.example\"", "host = \"a b\"", "bad host \"a b\"")]
#[case(
    "path = \"/records/\"",
    "path = \"/records\"",
    "bad path prefix \"/records\""
)]
#[case(
    "archive = 3",
    "shop = 3",
    "route \"look-up\" goes to \"shop\", which the text doesn't list"
)]
#[case(
    "attempts = 2",
    "attempts = 0",
    "\"attempts\" of route \"look-up\" must be a whole number from 1 to 16, not 0"
)]
#[case("host = \"cairns.example\"\n", "", "route \"look-up\" has no \"host\"")]
#[case(
    "backends = { archive = 3, registry = 1 }",
    "",
    "route \"look-up\" has no backends"
)]
#[case(
    "idempotent = true",
    "once = true",
    "unknown field \"once\" in route \"look-up\""
)]
fn faults_are_reported(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let found = faults(&TEXT.replace(from, to));
    let texts: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|text| text == message), "{texts:?}");
}

#[test]
fn two_routes_with_the_same_host_and_path_are_a_fault() {
    let again = TEXT.split("[routes.look-up]").nth(1).unwrap();
    let found = faults(&format!("{TEXT}\n[routes.again]{again}"));
    assert!(
        matches!(found[..], [FaultKind::DuplicateRoute { .. }]),
        "{found:?}"
    );
}

#[rstest]
#[case("/records/7", true)]
#[case("/records/", true)]
#[case("/records", false)]
#[case("/recordings/7", false)]
#[case("/other/records/7", false)]
fn only_whole_prefixes_match(#[case] path: &str, #[case] is_found: bool) {
    let index = RouteIndex::new(&FleetContract::parse("fleet.toml", TEXT).unwrap());
    assert_eq!(index.find("cairns.example", path).is_some(), is_found);
}
