//! What a valid contract probably doesn't mean, and what differs between two contracts.

use lentilshift_contract::{FleetContract, compare_contracts, review_contract};
use rstest::rstest;

fn parse(text: &str) -> FleetContract {
    FleetContract::parse("fleet.toml", text).expect("the text is valid")
}

fn warnings(text: &str) -> Vec<String> {
    let warnings = review_contract(&parse(text));
    warnings.iter().map(ToString::to_string).collect()
}

fn differences(old: &str, new: &str) -> Vec<String> {
    let differences = compare_contracts(&parse(old), &parse(new));
    differences.iter().map(ToString::to_string).collect()
}

const SOUND: &str = r#"
[services.archive]
depends_on = ["registry"]
[services.registry]
[services.registry.calls.look-up]
path = "/records"
deadline_ms = 800
[teams.clubs]
rate_per_s = 10
burst = 20
[routes.history]
host = "cairns.example"
path = "/history/"
deadline_ms = 900
target_ms = 200
backends = { archive = 9, registry = 1 }
"#;

#[test]
fn sound_contract_gives_no_warning() {
    assert_eq!(warnings(SOUND), Vec::<String>::new());
}

#[rstest]
#[case::unused_service(
    "[services.registry]\n",
    "[services.spare]\n[services.registry]\n",
    "\"spare\" gets no requests"
)]
#[case::idle_backend(
    "registry = 1 }",
    "registry = 0 }",
    "backend \"registry\" of route \"history\""
)]
#[case::no_share("archive = 9, registry = 1", "archive = 0", "serves no request")]
#[case::host("cairns.example", "Cairns.example", "may match no request")]
#[case::target(
    "target_ms = 200",
    "target_ms = 900",
    "the target of route \"history\" has no effect"
)]
#[case::burst("burst = 20", "burst = 9", "only 9 at once")]
fn mistake_gives_a_warning(#[case] sound: &str, #[case] mistake: &str, #[case] expected: &str) {
    let found = warnings(&SOUND.replace(sound, mistake));
    assert!(
        found.iter().any(|warning| warning.contains(expected)),
        "{found:?}"
    );
}

#[test]
fn call_whose_path_is_taken_by_all_methods_gives_a_warning() {
    let methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
    let calls = methods.map(|method| {
        let name = method.to_lowercase();
        format!("[services.a.calls.{name}]\nmethod = \"{method}\"\npath = \"/x\"\n")
    });
    let text = format!("[services.a.calls.rest]\npath = \"/x\"\n{}", calls.concat());
    let found = warnings(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].contains("call \"rest\" of service \"a\""),
        "{found:?}"
    );
}

#[test]
fn dependency_that_outlasts_every_request_gives_a_warning() {
    let text = "[services.a]\ndepends_on = [\"b\"]\n[services.a.calls.x]\ndeadline_ms = 100\n\
                [services.b.calls.y]\ndeadline_ms = 500\n";
    let found = warnings(text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("may all take 500 ms"), "{found:?}");
}

#[test]
fn equal_contracts_do_not_differ() {
    assert_eq!(differences(SOUND, SOUND), Vec::<String>::new());
}

#[rstest]
#[case(
    "deadline_ms = 900",
    "deadline_ms = 901",
    "changed route \"history\": deadline_ms 900 -> 901"
)]
#[case("burst = 20", "burst = 30", "changed team \"clubs\": burst 20 -> 30")]
#[case(
    "deadline_ms = 800",
    "deadline_ms = 700",
    "changed call \"look-up\" of service \"registry\": deadline_ms 800 -> 700"
)]
#[case(
    "[teams.clubs]",
    "[teams.guides]",
    "removed team \"clubs\"|added team \"guides\""
)]
#[case(
    "depends_on = [\"registry\"]",
    "",
    "changed service \"archive\": depends_on [\"registry\"] -> []"
)]
fn differences_name_the_entry_and_its_fields(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let found = differences(SOUND, &SOUND.replace(old, new));
    assert_eq!(found.join("|"), expected);
}
