use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::load_error::LoadError;

/// The fleet secret of all nodes that are measured.
pub(crate) const FLEET_SECRET: &str = "a secret for measurements only";
/// The first port for nodes; the range lies below the ephemeral ports of the system.
const FIRST_PORT: u16 = 11_000;
/// The size of the port range of one run.
const PORTS_PER_RUN: u16 = 2_000;
/// The number of runs of this tool that can use separate port ranges at the same time.
const MAX_CONCURRENT_RUNS: u16 = 10;

/// The four ports of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodePorts {
    pub(crate) callers: SocketAddr,
    pub(crate) egress: SocketAddr,
    pub(crate) ingress: SocketAddr,
    pub(crate) admin: SocketAddr,
}

impl NodePorts {
    /// Finds four free ports.
    pub(crate) fn find_free() -> Self {
        Self {
            callers: free_address(),
            egress: free_address(),
            ingress: free_address(),
            admin: free_address(),
        }
    }
}

fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let run = u16::try_from(std::process::id() % u32::from(MAX_CONCURRENT_RUNS)).unwrap_or(0);
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_RUN;
        let port = FIRST_PORT + run * PORTS_PER_RUN + offset;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The options of a node, apart from its ports.
pub(crate) struct NodeOptions<'s> {
    pub(crate) service: &'s str,
    pub(crate) slots: u32,
    pub(crate) backend: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) advertise: Option<SocketAddr>,
}

/// A node as a child process, killed when dropped.
pub(crate) struct NodeChild {
    child: Child,
    pub(crate) ports: NodePorts,
}

impl NodeChild {
    /// Starts the `lentilshift` binary from the directory of this executable.
    pub(crate) fn start(ports: NodePorts, options: &NodeOptions<'_>) -> Result<Self, LoadError> {
        let mut command = Command::new(node_binary()?);
        command.env_clear().arg("node");
        command.env("LENTILSHIFT_FLEET_SECRET", FLEET_SECRET);
        command.args(["--service", options.service, "--centre", "abuja-1"]);
        command.args(["--slots", &options.slots.to_string()]);
        command.args(["--backend", &options.backend.to_string()]);
        command.args(["--callers", &ports.callers.to_string()]);
        command.args(["--egress", &ports.egress.to_string()]);
        command.args(["--ingress", &ports.ingress.to_string()]);
        command.args(["--admin", &ports.admin.to_string()]);
        command.args(["--platform", &options.platform.to_string()]);
        command.args(["--log-level", "error"]);
        if let Some(address) = options.advertise {
            command.args(["--advertise", &address.to_string()]);
        }
        let child = command.stdout(Stdio::null()).spawn()?;
        Ok(Self { child, ports })
    }

    /// Returns the processor time of the node, in microseconds.
    pub(crate) fn cpu_us(&self) -> Result<u64, LoadError> {
        cpu_us(&self.child.id().to_string())
    }

    /// Returns the resident memory of the node, in kilobytes.
    pub(crate) fn resident_kb(&self) -> Result<u64, LoadError> {
        resident_kb(&self.child.id().to_string())
    }
}

/// Returns the processor time of all threads of a process, in microseconds.
pub(crate) fn cpu_us(process: &str) -> Result<u64, LoadError> {
    let mut total_ns = 0;
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        let first = text.split(' ').next().unwrap_or_default();
        total_ns += first.parse::<u64>()?;
    }
    Ok(total_ns / 1_000)
}

/// Returns the resident memory of a process, in kilobytes.
pub(crate) fn resident_kb(process: &str) -> Result<u64, LoadError> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next());
    Ok(number
        .ok_or("the process status has no VmRSS line")?
        .parse()?)
}

impl Drop for NodeChild {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn node_binary() -> Result<PathBuf, LoadError> {
    let current_exe = std::env::current_exe()?;
    let binary = current_exe.with_file_name("lentilshift");
    if binary.exists() {
        return Ok(binary);
    }
    let message = format!("{} doesn't exist; build it first", binary.display());
    Err(message.into())
}
