//! A serialized contract parses to the same contract, and any text parses or has faults.

use std::path::Path;

use lentilshift_contract::{
    CallContract, FleetContract, ServiceContract, TeamContract, WarmUpTerms,
};
use model::{CallImportance, CallName, ServiceName, TeamName};
use proptest::prelude::*;
use rstest::rstest;

fn call() -> impl Strategy<Value = CallContract> {
    let method = prop::option::of(prop::sample::select(vec!["GET", "POST", "DELETE"]));
    let importance = prop::sample::select(CallImportance::ALL.to_vec());
    (
        method,
        importance,
        any::<(bool, bool, bool)>(),
        1_u64..100_000,
    )
        .prop_map(
            |(method, importance, (once, idempotent, open), deadline_ms)| CallContract {
                method: method.map(Into::into),
                importance,
                once,
                idempotent: idempotent && !once,
                open: open && !once,
                deadline_ms,
                ..CallContract::default()
            },
        )
}

fn fleet() -> impl Strategy<Value = FleetContract> {
    let calls = prop::collection::vec(call(), 1..4);
    let services = prop::collection::vec((calls, any::<u8>()), 1..6);
    let teams =
        prop::collection::btree_map("[a-z][a-z0-9]{0,8}", (1_u32..9_999, 1_u32..9_999), 0..4);
    (services, teams).prop_map(|(services, teams)| {
        let mut fleet = FleetContract::default();
        for (index, (calls, dependency_bits)) in services.into_iter().enumerate() {
            let mut service = ServiceContract::default();
            if dependency_bits > 127 {
                service.health_path = Some("/healthz".into());
                service.warm_up = Some(WarmUpTerms {
                    span_ms: u64::from(dependency_bits),
                    rate_per_s: 16,
                });
            }
            let dependencies = (0..index).filter(|bit| dependency_bits >> bit & 1 == 1);
            service.depends_on = dependencies
                .map(|bit| ServiceName::new(format!("s{bit}")))
                .collect();
            for (number, mut call) in calls.into_iter().enumerate() {
                call.path = format!("/p{number}").into();
                service
                    .calls
                    .insert(CallName::new(format!("c{number}")), call);
            }
            fleet
                .services
                .insert(ServiceName::new(format!("s{index}")), service);
        }
        for (name, (rate_per_s, burst)) in teams {
            fleet.teams.insert(
                TeamName::new(name),
                TeamContract {
                    importance: None,
                    rate_per_s,
                    burst,
                },
            );
        }
        fleet
    })
}

proptest! {
    #[test]
    fn written_contract_parses_to_the_same(fleet in fleet()) {
        let text = toml::to_string(&fleet).expect("a contract can be serialized");
        let parsed = FleetContract::parse("fleet.toml", &text);
        prop_assert_eq!(parsed.map_err(|error| error.to_string()), Ok(fleet), "{}", text);
    }

    #[test]
    fn any_text_parses_or_has_faults(text in "[\\[\\]a-z.=\"\n{}0-9# -]{0,80}") {
        if let Err(error) = FleetContract::parse("fleet.toml", &text) {
            prop_assert!(!error.faults().is_empty());
        }
    }
}

#[test]
fn service_without_calls_matches_every_request() {
    let fleet = FleetContract::parse("fleet.toml", "[services.a]").unwrap();
    let call = fleet.find_call("a", "PATCH", "/x").unwrap();
    assert_eq!(call.call.as_str(), ServiceContract::DEFAULT_CALL);
    assert_eq!(*call.contract, CallContract::default());
}

#[rstest]
#[case("method = \"GET\"", true)]
#[case("method = \"GET\"\nonce = true", false)]
#[case("method = \"PUT\"", false)]
#[case("method = \"PUT\"\nidempotent = true", true)]
#[case("", false)]
fn only_safe_methods_are_idempotent_by_default(#[case] fields: &str, #[case] idempotent: bool) {
    let text = format!("[services.a.calls.c]\n{fields}");
    let fleet = FleetContract::parse("fleet.toml", &text).unwrap();
    let call = &fleet.services["a"].calls["c"];
    assert_eq!(call.idempotent, idempotent);
    assert_eq!(call.may_retry(), idempotent);
}

#[rstest]
#[case("zuma.toml", 4, 2)]
#[case("turnwell.toml", 4, 2)]
fn published_examples_are_valid(
    #[case] file: &str,
    #[case] services: usize,
    #[case] min_once_calls: usize,
) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/examples")
        .join(file);
    let text = std::fs::read_to_string(path).expect("the example exists");
    let fleet = FleetContract::parse(file, &text).expect("the example is valid");
    let calls = fleet
        .services
        .values()
        .flat_map(|service| service.calls.values());
    assert_eq!(fleet.services.len(), services);
    assert_eq!(fleet.teams.len(), 8);
    assert!(calls.filter(|call| call.once).count() >= min_once_calls);
}
