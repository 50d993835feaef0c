//! A node that can be killed without a shutdown.

use std::net::SocketAddr;

use futures_channel::oneshot;
use lentilshift_node::{NodeProcess, NodeSettings};

/// A node on its own thread; dropping the handle kills the node and closes its connections.
pub struct KillableNode {
    pub caller_address: SocketAddr,
    #[allow(dead_code, reason = "not every test file reads dumps")]
    pub admin_address: SocketAddr,
    _kill_sender: oneshot::Sender<()>,
}

impl KillableNode {
    pub fn start(settings: NodeSettings) -> Self {
        let (kill_sender, kill_receiver) = oneshot::channel();
        let (ports_sender, ports_receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().unwrap();
            runtime.block_on(async move {
                let node = NodeProcess::start(settings).await.unwrap();
                let ports = (node.caller_address(), node.admin_address());
                ports_sender.send(ports).unwrap();
                let _ = kill_receiver.await;
            });
        });
        let (caller_address, admin_address) = ports_receiver.recv().unwrap();
        Self {
            caller_address,
            admin_address,
            _kill_sender: kill_sender,
        }
    }
}
