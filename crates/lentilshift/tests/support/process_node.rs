use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use compio::time::sleep;

use super::PATIENCE;

/// A node that runs as a process of its own, killed when dropped.
pub struct ProcessNode {
    child: Child,
    pub callers: SocketAddr,
    pub egress: SocketAddr,
    pub admin: SocketAddr,
}

impl ProcessNode {
    /// Starts a node beside a backend server and waits until it listens.
    pub fn start(service: &str, backend: SocketAddr, platform: SocketAddr) -> Self {
        let any_port = "127.0.0.1:0";
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
        command.arg("node").env_clear().stdout(Stdio::piped());
        command.args(["--service", service, "--centre", "local"]);
        command.args(["--callers", any_port, "--egress", any_port]);
        command.args(["--ingress", any_port, "--admin", any_port]);
        command.env("LENTILSHIFT_BACKEND", backend.to_string());
        command.env("LENTILSHIFT_PLATFORM", platform.to_string());
        command.env("LENTILSHIFT_FLEET_SECRET", "a secret for tests only");
        let mut child = command.spawn().expect("the node starts");
        let output = BufReader::new(child.stdout.take().expect("it has an output"));
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if line.contains("event=node-started") {
                    let _ = sender.send(line);
                }
            }
        });
        let line = started.recv_timeout(PATIENCE).expect("the node listens");
        Self {
            child,
            callers: address(&line, "callers"),
            egress: address(&line, "egress"),
            admin: address(&line, "admin"),
        }
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("the signal is sent").success());
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is known") {
                return status;
            }
            assert!(Instant::now() < until, "the process doesn't end");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for ProcessNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn address(line: &str, name: &str) -> SocketAddr {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name).expect("an address");
    found.1.parse().expect("an address")
}
