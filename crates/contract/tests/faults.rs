//! The message, position and hint of each kind of fault in a contract text.

use std::fmt::Write;

use lentilshift_contract::{
    ContractError, ContractFault, FleetContract, MAX_CALLS_PER_SERVICE, MAX_SERVICES, MAX_TEAMS,
    MAX_TEXT_LEN,
};
use miette::Diagnostic;
use rstest::rstest;

fn parse_error(text: &str) -> ContractError {
    FleetContract::parse("fleet.toml", text).expect_err("the text has a fault")
}

#[rstest]
#[case::unknown_service(
    "[services.a]\ndepends_on = [\"b\"]",
    "line 2, column 15: service \"a\" depends on \"b\", which the text doesn't list",
    "add [services.b], or correct the name"
)]
#[case::self_cycle(
    "[services.a]\ndepends_on = [\"a\"]",
    "line 2, column 15: dependency cycle: a -> a",
    "remove one of these dependencies"
)]
#[case::cycle(
    "[services.a]\ndepends_on = [\"b\"]\n[services.b]\ndepends_on = [\"c\"]\n[services.c]\ndepends_on = [\"a\"]",
    "line 2, column 15: dependency cycle: a -> b -> c -> a",
    "remove one of these dependencies"
)]
#[case::duplicate_dependency(
    "[services.b]\n[services.a]\ndepends_on = [\"b\", \"b\"]",
    "line 3, column 20: service \"a\" lists its dependency \"b\" twice",
    "remove one of the two"
)]
#[case::warm_up_without_rate(
    "[services.a]\nwarm_up = { span_ms = 10 }",
    "line 2, column 11: \"warm_up\" of service \"a\" has no \"rate_per_s\"",
    "add a line rate_per_s = …"
)]
#[case::warm_up_rate_of_zero(
    "[services.a]\nwarm_up = { span_ms = 10, rate_per_s = 0 }",
    "line 2, column 40: \"rate_per_s\" of \"warm_up\" of service \"a\" must be a whole number from 1 to 1000000, not 0",
    "allowed: 1 to 1000000"
)]
#[case::health_path_without_slash(
    "[services.a]\nhealth_path = \"healthz\"",
    "line 2, column 15: bad path \"healthz\"",
    "allowed: \"/\", or segments such as \"/records/recent\" of letters, digits and -._~!$&'()*+,=:@ with no slash at the end, 256 bytes at most"
)]
#[case::duplicate_service(
    "[services.a]\n[services.a]",
    "line 2, column 11: not valid TOML: duplicate key",
    "a name may appear only once; text values need quotes"
)]
#[case::duplicate_call(
    "[services.a.calls]\nx = { path = \"/p\" }\ny = { path = \"/p\" }",
    "line 3, column 1: calls \"x\" and \"y\" of service \"a\" have the same method and path",
    "give the calls different paths or methods, or remove one"
)]
#[case::rate_of_zero(
    "[services.a]\n[teams.t]\nrate_per_s = 0\nburst = 1",
    "line 3, column 14: \"rate_per_s\" of team \"t\" must be a whole number from 1 to 1000000, not 0",
    "allowed: 1 to 1000000"
)]
#[case::rate_below_zero(
    "[services.a]\n[teams.t]\nrate_per_s = -5\nburst = 1",
    "line 3, column 14: \"rate_per_s\" of team \"t\" must be a whole number from 1 to 1000000, not -5",
    "allowed: 1 to 1000000"
)]
#[case::rate_of_a_fraction(
    "[services.a]\n[teams.t]\nrate_per_s = 0.5\nburst = 1",
    "line 3, column 14: \"rate_per_s\" of team \"t\" must be a whole number from 1 to 1000000, not 0.5",
    "allowed: 1 to 1000000"
)]
#[case::burst_below_one(
    "[services.a]\n[teams.t]\nrate_per_s = 1\nburst = 0",
    "line 4, column 9: \"burst\" of team \"t\" must be a whole number from 1 to 10000000, not 0",
    "allowed: 1 to 10000000"
)]
#[case::missing_burst(
    "[services.a]\n[teams.t]\nrate_per_s = 1",
    "line 2, column 8: team \"t\" has no \"burst\"",
    "add a line burst = …"
)]
#[case::unknown_field(
    "[services.a]\ndepend_on = []",
    "line 2, column 1: unknown field \"depend_on\" in service \"a\"",
    "allowed: health_path, depends_on, warm_up, calls"
)]
#[case::unknown_field_at_top(
    "[service.a]\n[services.a]",
    "line 1, column 2: unknown field \"service\" in the text",
    "allowed: services, teams, routes"
)]
#[case::wrong_type(
    "[services.a.calls.c]\nonce = \"yes\"",
    "line 2, column 8: \"once\" of call \"c\" must be true or false, not text",
    "write true or false"
)]
#[case::service_is_no_table(
    "[services]\na = 1",
    "line 2, column 5: service \"a\" must be a table, not a whole number",
    "write a table"
)]
#[case::bad_name(
    "[services.Registry]",
    "line 1, column 11: bad service name \"Registry\": a name has lower-case letters, digits and hyphens, not 'R'",
    "allowed: 1 to 63 lower-case letters, digits and inner hyphens"
)]
#[case::over_long_name(
    "[services.aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeeeffffffffffgggg]",
    "line 1, column 11: bad service name \"aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeeeffffffffffgggg\": a name has at most 63 characters, this one has 64",
    "allowed: 1 to 63 lower-case letters, digits and inner hyphens"
)]
#[case::once_and_idempotent(
    "[services.a.calls.c]\nonce = true\nidempotent = true",
    "line 1, column 19: call \"c\" is both once and idempotent",
    "keep once = true for what may not be repeated, else idempotent = true"
)]
#[case::once_and_open(
    "[services.a.calls.c]\nonce = true\nopen = true",
    "line 1, column 19: call \"c\" is both once and open",
    "a once call belongs to the team whose key came with it: remove open"
)]
#[case::unknown_importance(
    "[services.a.calls.c]\nimportance = \"urgent\"",
    "line 2, column 14: unknown importance \"urgent\"",
    "allowed: background, normal, high, critical"
)]
#[case::unknown_method(
    "[services.a.calls.c]\nmethod = \"get\"",
    "line 2, column 10: unknown method \"get\"",
    "allowed: GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE"
)]
#[case::deadline_of_zero(
    "[services.a.calls.c]\ndeadline_ms = 0",
    "line 2, column 15: \"deadline_ms\" of call \"c\" must be a whole number from 1 to 3600000, not 0",
    "allowed: 1 to 3600000"
)]
#[case::empty_text(
    "  # nothing\n",
    "line 1, column 1: the text is empty",
    "list at least one service, such as [services.registry]"
)]
#[case::no_service(
    "[teams.t]\nrate_per_s = 1\nburst = 1",
    "line 1, column 1: the text lists no service",
    "list at least one service, such as [services.registry]"
)]
fn fault_has_its_message(#[case] text: &str, #[case] message: &str, #[case] help: &str) {
    let error = parse_error(text);
    let messages: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
    assert_eq!(messages, [message]);
    assert_eq!(error.faults()[0].help().unwrap().to_string(), help);
}

#[rstest]
#[case("records")]
#[case("")]
#[case("/records/")]
#[case("/a//b")]
#[case("/a/../b")]
#[case("/a?b")]
#[case("/a b")]
#[case("/caf%C3%A9")]
#[case("/é")]
fn bad_path_is_refused(#[case] path: &str) {
    let text = format!("[services.a.calls.c]\npath = \"{path}\"");
    let error = parse_error(&text);
    let message = format!("fleet.toml has 1 fault: line 2, column 8: bad path \"{path}\"");
    assert_eq!(error.to_string(), message);
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "[services.a]\ndepends_on = [\"x\"]\n[services.a.calls.c]\nmethod = \"FETCH\"\n\
                [teams.t]\nrate_per_s = 0\nburst = 0\nweight = 1";
    let error = parse_error(text);
    let lines: Vec<usize> = error.faults().iter().map(ContractFault::line).collect();
    assert_eq!(lines, [2, 4, 6, 7, 8]);
    assert!(
        error
            .to_string()
            .starts_with("fleet.toml has 5 faults: line 2, column 15: ")
    );
    assert!(!error.to_string().contains('\n'));
}

#[test]
fn every_syntax_fault_is_reported() {
    let error = parse_error("[services.a]\nx = \n[services.b]\ny = @\n");
    let lines: Vec<usize> = error.faults().iter().map(ContractFault::line).collect();
    assert_eq!(lines, [2, 4]);
}

#[test]
fn diagnostic_shows_the_line_and_the_hint() {
    let error = parse_error("[services.a.calls.c]\nmethod = \"get\"");
    let report = format!("{:?}", miette::Report::new(error));
    assert!(report.contains("fleet.toml:2:10"), "{report}");
    assert!(report.contains("method = \"get\""), "{report}");
    assert!(report.contains("allowed: GET, HEAD"), "{report}");
}

#[test]
fn chain_of_sixteen_is_allowed_and_one_more_is_not() {
    assert!(FleetContract::parse("fleet.toml", &chain(16)).is_ok());
    let message = parse_error(&chain(17)).to_string();
    assert!(message.contains("the chain s16 -> s15 -> s14"), "{message}");
    assert!(
        message.ends_with("has 17 services, at most 16 are allowed"),
        "{message}"
    );
}

fn chain(depth: usize) -> String {
    let mut text = "[services.s0]\n".to_owned();
    for index in 1..depth {
        writeln!(
            text,
            "[services.s{index}]\ndepends_on = [\"s{}\"]",
            index - 1
        )
        .unwrap();
    }
    text
}

#[rstest]
#[case::text(" ".repeat(MAX_TEXT_LEN + 1), "the text has 4194305 bytes, at most 4194304 are allowed")]
#[case::services(many("services.s", MAX_SERVICES + 1, ""), "the text lists 4097 services, at most 4096 are allowed")]
#[case::teams(
    format!("[services.a]\n{}", many("teams.t", MAX_TEAMS + 1, "rate_per_s = 1\nburst = 1\n")),
    "the text lists 4097 teams, at most 4096 are allowed"
)]
#[case::calls(
    many("services.a.calls.c", MAX_CALLS_PER_SERVICE + 1, ""),
    "service \"a\" has 257 calls, at most 256 are allowed"
)]
fn texts_over_the_limits_are_refused(#[case] text: String, #[case] message: &str) {
    let error = parse_error(&text);
    assert_eq!(error.faults().len(), 1);
    assert_eq!(error.faults()[0].kind().to_string(), message);
}

fn many(prefix: &str, count: usize, body: &str) -> String {
    let mut text = String::new();
    for index in 0..count {
        writeln!(text, "[{prefix}{index}]\n{body}").unwrap();
    }
    text
}

#[test]
fn long_input_is_truncated_in_messages() {
    let text = format!("[services.{}]", "z".repeat(100_000));
    assert!(parse_error(&text).to_string().len() < 400);
}

#[rstest]
#[case::many_unknown_fields("x{} = 1\n")]
#[case::many_syntax_faults("x{} = @\n")]
fn faults_beyond_a_hundred_are_omitted(#[case] line: &str) {
    let mut text = String::new();
    for index in 0..20_000 {
        text.push_str(&line.replace("{}", &index.to_string()));
    }
    let error = parse_error(&text);
    assert_eq!(error.faults().len(), 101);
    let last = error.faults()[100].kind().to_string();
    assert_eq!(
        last,
        "the text has more than 100 faults, the rest isn't shown"
    );
}

#[rstest]
#[case::arrays(format!("x = {}", "[".repeat(100_000)))]
#[case::closed_arrays(format!("x = {}{}", "[".repeat(50_000), "]".repeat(50_000)))]
#[case::tables("x = ".to_owned() + &"{a = ".repeat(50_000))]
#[case::dotted_keys(format!("x{} = 1", ".a".repeat(100_000)))]
#[case::dotted_table(format!("[x{}]", ".a".repeat(100_000)))]
fn deep_nesting_is_refused_without_stack_overflow(#[case] text: String) {
    assert!(!parse_error(&text).faults().is_empty());
}
