use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use compio::time::sleep;

use super::{LinkGate, WAIT_TIMEOUT};

/// The options that a node is started with.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    pub service: &'static str,
    pub centre: &'static str,
    /// The address of the backend server.
    pub backend: SocketAddr,
    /// The address of the log.
    pub platform: SocketAddr,
    /// Nodes to read state from when the log is down.
    pub peers: Vec<SocketAddr>,
    /// Whether links and the connections to the log and the backend server run through gates.
    pub is_gated: bool,
}

/// The gates on the connections of a node.
pub struct NodeGates {
    /// Between other nodes and this one.
    pub links: Rc<LinkGate>,
    /// Between this node and the log.
    pub log: Rc<LinkGate>,
    /// Between this node and its backend server.
    pub backend: Rc<LinkGate>,
}

/// A node that runs as a process of its own, killed when dropped.
pub struct ProcessNode {
    child: Child,
    pub callers: SocketAddr,
    pub egress: SocketAddr,
    pub ingress: SocketAddr,
    pub admin: SocketAddr,
    pub gates: NodeGates,
}

impl ProcessNode {
    /// Starts the node of a backend server and waits until it listens.
    pub async fn start(options: &NodeOptions) -> Self {
        let gates = NodeGates {
            links: LinkGate::start().await,
            log: LinkGate::start().await,
            backend: LinkGate::start().await,
        };
        gates.log.set_target(options.platform);
        gates.backend.set_target(options.backend);
        let mut command = command_of(options, &gates);
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
        let until = Instant::now() + WAIT_TIMEOUT;
        let line = loop {
            match started.try_recv() {
                Ok(line) => break line,
                Err(_) => sleep(Duration::from_millis(2)).await,
            }
            if Instant::now() > until {
                let _ = child.kill();
                panic!("the node doesn't listen");
            }
        };
        let node = Self {
            child,
            callers: address(&line, "callers"),
            egress: address(&line, "egress"),
            ingress: address(&line, "ingress"),
            admin: address(&line, "admin"),
            gates,
        };
        node.gates.links.set_target(node.ingress);
        node
    }

    /// Signals the process to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process has ended");
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is known") {
                return status;
            }
            assert!(Instant::now() < until, "the process doesn't end");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("the signal is sent").success());
    }
}

impl Drop for ProcessNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command_of(options: &NodeOptions, gates: &NodeGates) -> Command {
    let any_port = "127.0.0.1:0";
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshift"));
    command.arg("node").env_clear().stdout(Stdio::piped());
    command.args(["--service", options.service, "--centre", options.centre]);
    command.args(["--callers", any_port, "--egress", any_port]);
    command.args(["--ingress", any_port, "--admin", any_port]);
    for peer in &options.peers {
        command.args(["--peer", &peer.to_string()]);
    }
    let (mut backend, mut platform) = (options.backend, options.platform);
    if options.is_gated {
        command.args(["--advertise", &gates.links.address().to_string()]);
        backend = gates.backend.address();
        platform = gates.log.address();
    }
    command.env("LENTILSHIFT_BACKEND", backend.to_string());
    command.env("LENTILSHIFT_PLATFORM", platform.to_string());
    command.env("LENTILSHIFT_FLEET_SECRET", "a secret for tests only");
    command
}

fn address(line: &str, name: &str) -> SocketAddr {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name).expect("an address");
    found.1.parse().expect("an address")
}
