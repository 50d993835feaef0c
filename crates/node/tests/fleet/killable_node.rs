//! A node that dies without notice.

use std::net::SocketAddr;

use futures_channel::oneshot;
use lentilshift_node::{NodeProcess, NodeSettings};

/// A node on a thread of its own, which dies with all its connections when this is dropped.
pub struct KillableNode {
    pub callers: SocketAddr,
    #[allow(dead_code, reason = "not every test file looks at dumps")]
    pub admin: SocketAddr,
    _kill: oneshot::Sender<()>,
}

impl KillableNode {
    pub fn start(settings: NodeSettings) -> Self {
        let (kill, killed) = oneshot::channel();
        let (tell, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().unwrap();
            runtime.block_on(async move {
                let node = NodeProcess::start(settings).await.unwrap();
                let ports = (node.caller_address(), node.admin_address());
                tell.send(ports).unwrap();
                let _ = killed.await;
            });
        });
        let (callers, admin) = told.recv().unwrap();
        Self {
            callers,
            admin,
            _kill: kill,
        }
    }
}
