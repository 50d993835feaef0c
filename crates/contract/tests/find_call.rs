//! `find_call`, compared with a naive scan over segments and with a naive prefix match.

use std::collections::BTreeMap;

use lentilshift_contract::{CallContract, FleetContract, ServiceContract, is_plain_path};
use model::CallName;
use proptest::prelude::*;
use rstest::rstest;

const CONTRACT: &str = r#"
[services.filings.calls.all]
[services.filings.calls.file]
method = "POST"
path = "/filings"
[services.filings.calls.drafts]
path = "/filings/drafts"
[services.filings.calls.new-draft]
method = "POST"
path = "/filings/drafts"
[services.filings.calls.status]
path = "/status"
open = true
"#;

fn fleet() -> FleetContract {
    FleetContract::parse("fleet.toml", CONTRACT).expect("the contract is valid")
}

#[rstest]
#[case("POST", "/filings", Some("file"))]
#[case("POST", "/filings/", Some("file"))]
#[case("POST", "/filings/7?draft=1", Some("file"))]
#[case("GET", "/filings/7", Some("all"))]
#[case("POST", "/filingsx", Some("all"))]
#[case("POST", "/filings/drafts/1", Some("new-draft"))]
#[case("PUT", "/filings/drafts/1", Some("drafts"))]
#[case("GET", "/", Some("all"))]
#[case("GET", "", None)]
#[case("GET", "*", None)]
#[case("GET", "/status/../filings", None)]
fn longest_path_then_method_wins(
    #[case] method: &str,
    #[case] path: &str,
    #[case] call: Option<&str>,
) {
    let fleet = fleet();
    let found = fleet.find_call("filings", method, path);
    assert_eq!(found.map(|found| found.call.as_str()), call);
}

#[test]
fn unknown_service_has_no_call() {
    assert_eq!(fleet().find_call("registry", "GET", "/"), None);
}

#[rstest]
#[case("/status/../filings")]
#[case("/status/%2e%2e/filings")]
#[case("/status/%2E./filings")]
#[case("/status/..;/filings")]
#[case("/status/..%2ffilings")]
#[case("/status/..\\filings")]
#[case("/status//../filings")]
#[case("/status%2f..%2ffilings")]
#[case("/status/%252e%252e/filings")]
#[case("/statusx")]
fn open_call_is_never_matched_by_a_path_that_may_mean_another(#[case] path: &str) {
    assert!(
        path.starts_with("/status"),
        "the naive prefix match opens {path}"
    );
    let fleet = fleet();
    let found = fleet.find_call("filings", "GET", path);
    assert!(found.is_none_or(|found| !found.contract.open));
}

#[rstest]
#[case("/caf%C3%A9", true)]
#[case("/a%20b", true)]
#[case("/a.b/..c", true)]
#[case("/%61", false)]
#[case("/%zz", false)]
#[case("/%+1", false)]
#[case("/%4", false)]
#[case("/a%", false)]
#[case("/é", false)]
#[case("/a%00", false)]
#[case("//", false)]
#[case("/a//", false)]
fn plain_paths_are_recognized(#[case] path: &str, #[case] is_plain: bool) {
    assert_eq!(is_plain_path(path), is_plain);
}

/// Returns the call whose path is the longest prefix of the segments, by comparing lists of
/// segments.
fn naive_find<'c>(
    calls: &'c BTreeMap<CallName, CallContract>,
    method: &str,
    path: &str,
) -> Option<&'c CallName> {
    let segments = |path: &str| -> Vec<String> {
        let parts = path.split('/').filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    };
    let wanted = segments(path);
    let mut best: Option<(usize, bool, &CallName)> = None;
    for (name, call) in calls {
        let own = segments(&call.path);
        let is_method = call.method.as_deref().is_none_or(|own| own == method);
        if !is_method || own.len() > wanted.len() || own[..] != wanted[..own.len()] {
            continue;
        }
        let rank = (own.len(), call.method.is_some());
        if best.is_none_or(|(len, named, _)| rank > (len, named)) {
            best = Some((rank.0, rank.1, name));
        }
    }
    best.map(|(_, _, name)| name)
}

fn path() -> impl Strategy<Value = String> {
    prop::collection::vec("[ab]{1,2}", 0..4).prop_map(|parts| format!("/{}", parts.join("/")))
}

fn method() -> impl Strategy<Value = Option<&'static str>> {
    prop_oneof![Just(None), Just(Some("GET")), Just(Some("POST"))]
}

proptest! {
    #[test]
    fn find_call_agrees_with_a_naive_scan(
        routes in prop::collection::btree_set((path(), method()), 0..12),
        wanted in path(),
    ) {
        let calls: BTreeMap<_, _> = routes.into_iter().enumerate().map(|(index, (path, method))| {
            let name = CallName::new(format!("c{index}"));
            let method = method.map(Into::into);
            let path = path.into();
            (name, CallContract { method, path, ..CallContract::default() })
        }).collect();
        let service = ServiceContract { calls: calls.clone(), ..ServiceContract::default() };
        let mut fleet = FleetContract::default();
        fleet.services.insert("s".into(), service);
        for method in ["GET", "POST", "PUT"] {
            let found = fleet.find_call("s", method, &wanted).map(|found| found.call);
            prop_assert_eq!(found, naive_find(&calls, method, &wanted));
        }
    }
}
