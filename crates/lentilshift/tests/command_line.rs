//! The command line: arguments, environment variables, error messages and exit codes.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn lentilshift(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
    command.args(args).env_clear().env("NO_COLOR", "1");
    command
}

fn run(args: &[&str]) -> Output {
    lentilshift(args).output().expect("the command starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/examples")
        .join(file)
}

fn check_input(text: &str) -> Output {
    let mut command = lentilshift(&["check", "-"]);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the command starts");
    let mut input = child.stdin.take().expect("it has an input");
    input
        .write_all(text.as_bytes())
        .expect("it reads its input");
    drop(input);
    child.wait_with_output().expect("the command ends")
}

#[rstest]
#[case("zuma.toml", "services=4 calls=10 teams=8 deepest_chain=4")]
#[case("turnwell.toml", "services=4 calls=11 teams=8 deepest_chain=4")]
fn check_prints_a_summary_of_a_valid_text(#[case] file: &str, #[case] summary: &str) {
    let path = example(file);
    let output = run(&["check", &path.to_string_lossy()]);
    assert_eq!(stderr(&output), "");
    assert_eq!(output.status.code(), Some(0));
    assert!(
        stdout(&output).ends_with(&format!("is valid: {summary}\n")),
        "{output:?}"
    );
}

#[test]
fn check_reports_every_error_below_its_line() {
    let output =
        check_input("[services.a]\ndepends_on = [\"b\"]\n[teams.t]\nrate_per_s = 0\nburst = 1\n");
    let shown = stderr(&output);
    assert_eq!(output.status.code(), Some(3));
    assert!(shown.contains("standard input has 2 faults"), "{shown}");
    assert!(
        shown.contains("line 2, column 15: service \"a\" depends on \"b\""),
        "{shown}"
    );
    assert!(shown.contains("rate_per_s = 0"), "{shown}");
    assert!(shown.contains("allowed: 1 to 1000000"), "{shown}");
}

/// A configuration of the users' platform, with a team's burst.
fn configuration(burst: u32) -> String {
    format!(
        r#"{{"version":"00000007","services":[{{"name":"archive"}},{{"name":"spare"}}],
        "tenants":[{{"name":"clubs","api-keys":["k"],"rate-per-s":301,"burst":{burst}}}],
        "virtual-hosts":[{{"host":"cairns.example","paths":[{{"name":"r-1","path-prefix":"/a/",
        "kind":"safe","timeout-ms":1000,"target-latency-ms":500,"priority":1,
        "service":"archive","max-attempts":2,"allow-anonymous":false}}]}}]}}"#
    )
}

#[test]
fn check_warns_of_a_configuration_of_the_users_platform() {
    let output = check_input(&configuration(30));
    let shown = stdout(&output);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        shown.contains("warning: service \"spare\" gets no requests"),
        "{shown}"
    );
    assert!(
        shown.contains("warning: team \"clubs\" may send 301"),
        "{shown}"
    );
    assert!(
        shown.contains("standard input is valid: services=2"),
        "{shown}"
    );
}

#[test]
fn check_shows_what_differs_from_another_text() {
    let name = format!("lentilshift-check-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, configuration(30)).expect("the file can be written");
    let file = path.to_string_lossy();
    let same = run(&["check", &file, "--against", &file]);
    assert!(stdout(&same).contains("no difference"), "{same:?}");
    let example = example("zuma.toml");
    let other = run(&["check", &example.to_string_lossy(), "--against", &file]);
    std::fs::remove_file(&path).expect("the file exists");
    assert!(
        stdout(&other).contains("removed route \"r-1\""),
        "{other:?}"
    );
}

#[test]
fn check_reports_a_malformed_configuration() {
    let output = check_input("{\"version\":3}");
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).contains("malformed configuration"),
        "{output:?}"
    );
}

#[test]
fn check_reports_a_missing_file() {
    let output = run(&["check", "/nowhere/fleet.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).starts_with("error: can't read file \"/nowhere/fleet.toml\": "));
}

#[test]
fn check_limits_the_length_of_a_text() {
    let output = check_input(&"#".repeat(4 * 1024 * 1024 + 1));
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("at most 4194304 are allowed"));
    assert!(output.stderr.len() < 1_000, "the whole text is shown");
}

#[rstest]
#[case(&["--help"], "Usage: lentilshift [OPTIONS]")]
#[case(&["check", "--help"], "Usage: lentilshift check [OPTIONS]")]
#[case(&["key", "grant", "-h"], "Usage: lentilshift key grant [OPTIONS]")]
#[case(&["--version"], "lentilshift 0.1.0")]
fn help_and_version_go_to_standard_output(#[case] args: &[&str], #[case] start: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).starts_with(start), "{output:?}");
}

#[rstest]
#[case(&[], "no command is named; see lentilshift --help")]
#[case(&["key"], "no command is named; see lentilshift key --help")]
#[case(&["chek"], "unrecognized command `chek`; see lentilshift --help")]
#[case(&["check", "a", "b"], "unexpected free argument `b`; see lentilshift --help")]
#[case(&["check"], "FILE is missing")]
#[case(&["key", "withdraw", "secret-key", "--platform", "127.0.0.1:1"], "DIGEST must be 64 hexadecimal digits")]
fn invalid_usage_is_reported(#[case] args: &[&str], #[case] message: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stderr(&output), format!("error: {message}\n"));
}

#[test]
fn all_setting_errors_are_reported_at_once_without_secrets() {
    let mut command = lentilshift(&["node", "--service", "Registry", "--callers", "here"]);
    command.env("LENTILSHIFT_CENTRE", "abuja 1");
    command.env("LENTILSHIFT_FLEET_SECRET", "short");
    command.env("LENTILSHIFT_PEER", "10.0.0.1:1,10.0.0.2");
    command.env("LENTILSHIFT_CALLERS", "127.0.0.1:1");
    let output = command.output().expect("the command starts");
    assert_eq!(output.status.code(), Some(2));
    let name = "must be 1 to 63 lower-case letters, digits and inner hyphens";
    let address = "must be an address such as 10.0.0.1:7000";
    let missing = |flag: &str| {
        let variable = flag.to_ascii_uppercase();
        format!("error: --{flag} is missing; give it or set LENTILSHIFT_{variable}")
    };
    let expected = [
        format!("error: --service {name}, not \"Registry\""),
        format!("error: LENTILSHIFT_CENTRE {name}, not \"abuja 1\""),
        missing("backend"),
        format!("error: --callers {address}, not \"here\""),
        missing("egress"),
        missing("ingress"),
        missing("admin"),
        missing("platform"),
        format!("error: LENTILSHIFT_PEER {address}, not \"10.0.0.2\""),
        "error: LENTILSHIFT_FLEET_SECRET must be a secret of 16 bytes or more".to_owned(),
    ];
    assert_eq!(stderr(&output).lines().collect::<Vec<_>>(), expected);
}
