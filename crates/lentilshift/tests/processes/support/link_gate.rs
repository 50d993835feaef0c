use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use compio::time::sleep;

/// The bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// The length of the name that a node gives itself, in bytes.
const VM_NAME_BYTES: usize = 39;
/// The time between two looks at a gate that holds, in milliseconds.
const LOOK_MS: u64 = 5;

/// How a gate treats what comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GateState {
    #[default]
    Open,
    /// Keeps all bytes until it opens, as a paused process does.
    Held,
    /// Drops all bytes, as a broken network does.
    Cut,
}

/// Relays connections to one address, and stops to on request.
pub struct LinkGate {
    address: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    state: Cell<GateState>,
    /// The VMs that nothing passes from or to.
    cut_vms: RefCell<BTreeSet<String>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The VM that opened a connection, once its first message has told.
type LinkSource = RefCell<Option<String>>;

impl LinkGate {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gate = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            target: Cell::default(),
            state: Cell::default(),
            cut_vms: RefCell::default(),
            tasks: RefCell::default(),
        });
        compio::runtime::spawn(Rc::clone(&gate).accept(listener)).detach();
        gate
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(Some(target));
    }

    pub fn set_state(&self, state: GateState) {
        self.state.set(state);
    }

    /// Lets nothing pass from and to these VMs.
    pub fn cut_vms(&self, vms: BTreeSet<String>) {
        self.cut_vms.replace(vms);
    }

    /// Lets all pass on new connections, and closes the old ones, which have lost bytes.
    pub fn mend(&self) {
        self.state.set(GateState::Open);
        self.cut_vms.borrow_mut().clear();
        self.tasks.borrow_mut().clear();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let gate = Rc::clone(&self);
            let task = compio::runtime::spawn(async move { gate.relay(near).await });
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task);
        }
    }

    async fn relay(&self, near: TcpStream) {
        while self.state.get() == GateState::Held {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        let Some(target) = self.target.get() else {
            return;
        };
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let source = LinkSource::default();
        let out = self.pump(&near, &far, &source);
        let back = self.pump(&far, &near, &source);
        futures_util::future::select(std::pin::pin!(out), std::pin::pin!(back)).await;
    }

    async fn pump(&self, mut from: &TcpStream, mut to: &TcpStream, source: &LinkSource) {
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        loop {
            let read = from.read(chunk).await;
            chunk = read.1;
            if !matches!(read.0, Ok(1..)) {
                return;
            }
            if source.borrow().is_none() {
                source.replace(vm_in(&chunk));
            }
            while self.state.get() == GateState::Held {
                sleep(Duration::from_millis(LOOK_MS)).await;
            }
            if self.is_cut(source) {
                chunk.clear();
                continue;
            }
            let written = to.write_all(chunk).await;
            chunk = written.1;
            if written.0.is_err() {
                return;
            }
            chunk.clear();
        }
    }

    fn is_cut(&self, source: &LinkSource) -> bool {
        let source = source.borrow();
        let is_cut_vm = |vm| self.cut_vms.borrow().contains(vm);
        self.state.get() == GateState::Cut || source.as_ref().is_some_and(is_cut_vm)
    }
}

/// Returns the name of a VM that stands in some bytes.
fn vm_in(bytes: &[u8]) -> Option<String> {
    let start = bytes.windows(3).position(|window| window == b"vm-")?;
    let name = bytes.get(start..start + VM_NAME_BYTES)?;
    Some(String::from_utf8_lossy(name).into_owned())
}
