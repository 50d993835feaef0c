use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::load_error::LoadError;

/// The fleet's secret of the measurements.
pub(crate) const SECRET: &str = "a secret for measurements only";
/// The first port that is tried for nodes; it lies below those that the system gives out.
const FIRST_PORT: u16 = 21_000;

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
    pub(crate) fn find() -> Self {
        Self {
            callers: free_address(),
            egress: free_address(),
            ingress: free_address(),
            admin: free_address(),
        }
    }
}

fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// What a node is started with, besides its ports.
pub(crate) struct NodeStart<'s> {
    pub(crate) service: &'s str,
    pub(crate) slots: u32,
    pub(crate) backend: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) advertise: Option<SocketAddr>,
}

/// A node as a process of its own, ended when dropped.
pub(crate) struct NodeChild {
    child: Child,
    pub(crate) ports: NodePorts,
}

impl NodeChild {
    /// Starts the `lentilshift` binary that lies beside this one.
    pub(crate) fn start(ports: NodePorts, start: &NodeStart<'_>) -> Result<Self, LoadError> {
        let mut command = Command::new(node_binary()?);
        command.env_clear().arg("node");
        command.env("LENTILSHIFT_FLEET_SECRET", SECRET);
        command.args(["--service", start.service, "--centre", "abuja-1"]);
        command.args(["--slots", &start.slots.to_string()]);
        command.args(["--backend", &start.backend.to_string()]);
        command.args(["--callers", &ports.callers.to_string()]);
        command.args(["--egress", &ports.egress.to_string()]);
        command.args(["--ingress", &ports.ingress.to_string()]);
        command.args(["--admin", &ports.admin.to_string()]);
        command.args(["--platform", &start.platform.to_string()]);
        command.args(["--log-level", "error"]);
        if let Some(address) = start.advertise {
            command.args(["--advertise", &address.to_string()]);
        }
        let child = command.stdout(Stdio::null()).spawn()?;
        Ok(Self { child, ports })
    }

    /// Returns the processor time of all threads of the node, in microseconds.
    pub(crate) fn cpu_us(&self) -> Result<u64, LoadError> {
        let mut total_ns = 0;
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = fs::read_to_string(task?.path().join("schedstat"))?;
            let first = text.split(' ').next().unwrap_or_default();
            total_ns += first.parse::<u64>()?;
        }
        Ok(total_ns / 1_000)
    }

    /// Returns the resident memory of the node, in kilobytes.
    pub(crate) fn resident_kb(&self) -> Result<u64, LoadError> {
        resident_kb(&self.child.id().to_string())
    }
}

/// Returns the resident memory of a process, in kilobytes.
pub(crate) fn resident_kb(process: &str) -> Result<u64, LoadError> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next());
    Ok(number.ok_or("a process has no resident memory")?.parse()?)
}

impl Drop for NodeChild {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn node_binary() -> Result<PathBuf, LoadError> {
    let own = std::env::current_exe()?;
    let binary = own.with_file_name("lentilshift");
    if binary.exists() {
        return Ok(binary);
    }
    let text = format!("{} isn't built", binary.display());
    Err(text.into())
}
