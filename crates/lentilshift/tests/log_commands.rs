//! The commands that use the platform's log or a node, run against a simulated log.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;

use rstest::rstest;
use standin::{LogFaults, LogOutage, LogServer};

const CONTRACT: &str = "[services.registry]\n[teams.clubs]\nrate_per_s = 10\nburst = 20\n";

/// Starts a simulated log with faults on its own thread, which runs until the test process ends.
fn start_log(faults: LogFaults) -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("the loop starts");
        runtime.block_on(async {
            let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
            let server = LogServer::bind(any_port).await.expect("the log starts");
            server.control().set_faults(faults);
            let address = server.addr().expect("it has an address");
            sender.send(address.to_string()).expect("the test waits");
            server.run().await
        })
    });
    receiver.recv().expect("the log starts")
}

fn start(platform: &str, args: &[&str], input: &str) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
    command
        .args(args)
        .env_clear()
        .env("LENTILSHIFT_PLATFORM", platform);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the command starts");
    let mut stdin = child.stdin.take().expect("it has an input");
    stdin
        .write_all(input.as_bytes())
        .expect("it takes its input");
    child
}

fn run(platform: &str, args: &[&str], input: &str) -> Output {
    let child = start(platform, args, input);
    child.wait_with_output().expect("the command ends")
}

fn publish(platform: &str, base: &str, text: &str) -> Output {
    run(platform, &["publish", "-", "--base", base], text)
}

#[track_caller]
fn assert_output(output: &Output, code: i32, stdout: &str, stderr: &str) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let found = (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    );
    assert_eq!(found, (Some(code), stdout.to_owned(), stderr.to_owned()));
}

#[rstest]
#[case::sound(LogFaults::default())]
#[case::replies_are_lost(LogFaults { lose_append_replies: true, ..LogFaults::default() })]
fn publish_reports_the_outcome(#[case] faults: LogFaults) {
    let log = start_log(faults);
    assert_output(
        &publish(&log, "0", CONTRACT),
        0,
        "accepted as version 1\n",
        "",
    );
    let changed = CONTRACT.replace("20", "30");
    let rejected = "error: rejected: base version 0, now 1\n";
    assert_output(&publish(&log, "0", &changed), 4, "", rejected);
    assert_output(
        &publish(&log, "1", &changed),
        0,
        "accepted as version 2\n",
        "",
    );
    let shown = run(&log, &["show"], "");
    assert_output(&shown, 0, &changed, "version=2 newest_version=2 keys=0\n");
}

#[test]
fn invalid_text_never_reaches_the_log() {
    let log = start_log(LogFaults::default());
    assert_eq!(publish(&log, "0", "[service.a]").status.code(), Some(3));
    let shown = run(&log, &["show"], "");
    assert_output(&shown, 0, "", "version=0 newest_version=0 keys=0\n");
}

#[test]
fn one_of_concurrent_publishers_is_accepted() {
    let log = start_log(LogFaults {
        append_delay_ms: 200,
        ..LogFaults::default()
    });
    let args = ["publish", "-", "--base", "0"];
    let publishers: Vec<Child> = (1..=3)
        .map(|burst| start(&log, &args, &CONTRACT.replace("20", &format!("{burst}"))))
        .collect();
    let outputs = publishers
        .into_iter()
        .map(|publisher| publisher.wait_with_output().expect("it ends"));
    let mut codes: Vec<_> = outputs.map(|output| output.status.code()).collect();
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(4), Some(4)]);
}

#[test]
fn key_is_granted_shown_once_and_withdrawn() {
    let log = start_log(LogFaults::default());
    publish(&log, "0", CONTRACT);
    let unknown = "error: team \"press\" isn't in the contract in force; publish it first\n";
    assert_output(&run(&log, &["key", "grant", "press"], ""), 1, "", unknown);
    let granted = run(&log, &["key", "grant", "clubs"], "");
    let granted = String::from_utf8(granted.stdout).expect("text");
    let lines: Vec<_> = granted.lines().collect();
    assert!(lines[0].starts_with("key=lsk-"), "{granted}");
    assert_eq!(lines[2], "team=clubs");
    let digest = lines[1].strip_prefix("digest=").expect("a digest");
    assert!(!digest.contains("lsk-"));
    let withdraw = || run(&log, &["key", "withdraw", digest], "");
    assert_output(&withdraw(), 0, "key withdrawn\nteam=clubs\n", "");
    let warning = "no key with this digest was in force; check the digest\n";
    assert_output(&withdraw(), 0, "key withdrawn\n", warning);
}

#[test]
fn unreachable_log_and_node_are_reported() {
    let refused = start_log(LogFaults {
        outage: LogOutage::Refuse,
        ..LogFaults::default()
    });
    let message = "error: the platform's log can't be read: the log is unavailable: 503 Service Unavailable\n";
    assert_output(&publish(&refused, "0", CONTRACT), 6, "", message);
    let dump = run("", &["dump", "127.0.0.1:9"], "");
    assert_eq!(dump.status.code(), Some(6));
    let message = String::from_utf8_lossy(&dump.stderr).into_owned();
    assert!(
        message.starts_with("error: node 127.0.0.1:9 gave no dump: "),
        "{message}"
    );
}

#[rstest]
#[case("TERM")]
#[case("INT")]
fn node_dumps_its_state_and_stops_on_a_signal(#[case] signal: &str) {
    let log = start_log(LogFaults::default());
    let any = "127.0.0.1:0";
    let args = [
        "node",
        "--service",
        "registry",
        "--centre",
        "north",
        "--backend",
        "127.0.0.1:9",
        "--callers",
        any,
        "--egress",
        any,
        "--ingress",
        any,
        "--admin",
        any,
        "--fleet-secret",
        "0123456789abcdef",
    ];
    let mut node = start(&log, &args, "");
    let mut lines = BufReader::new(node.stdout.take().expect("it has an output")).lines();
    let is_started = |line: &String| line.contains("event=node-started");
    let started = lines.by_ref().map_while(Result::ok).find(is_started);
    let started = started.expect("the node starts");
    let admin = started.rsplit_once("admin=").expect("its admin address").1;
    let dump = run(&log, &["dump", admin], "");
    let shown = String::from_utf8_lossy(&dump.stdout).into_owned();
    assert_eq!(dump.status.code(), Some(0), "{dump:?}");
    assert!(
        shown.contains("\"registry\"") && !shown.contains("0123456789abcdef"),
        "{shown}"
    );
    let kill = format!("kill -{signal} {}", node.id());
    let killed = Command::new("sh")
        .args(["-c", &kill])
        .status()
        .expect("a shell");
    assert!(killed.success());
    assert!(
        lines
            .map_while(Result::ok)
            .any(|line| line.contains("event=node-stopped"))
    );
    assert_eq!(node.wait().expect("the node ends").code(), Some(0));
}
