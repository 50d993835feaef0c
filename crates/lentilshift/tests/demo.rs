//! The demo succeeds and prints the expected results.

use std::process::Command;

#[test]
fn demo_succeeds() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
    let output = command.arg("demo").env_clear().output();
    let output = output.expect("the demo runs");
    let shown = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{shown}{errors}");
    for reason in ["key-missing", "key-unknown", "no-such-call", "over-rate"] {
        assert!(shown.contains(reason), "{shown}");
    }
    assert!(shown.contains("saw a key in 0 of them"), "{shown}");
}
