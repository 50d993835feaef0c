use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use standin::{RelayDirection, RelayRule, TcpRelay};

/// The length of the VM name of a node, in bytes.
const VM_NAME_BYTES: usize = 39;
/// The interval of checks whether a held gate has opened, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 5;

/// What a gate does with the bytes that it relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GateState {
    #[default]
    Open,
    /// Holds all bytes back until it opens, as if the process behind it were paused.
    Held,
    /// Drops all bytes, as if the network were partitioned.
    Blocked,
}

/// The state of a gate, which decides on the bytes that it relays.
#[derive(Default)]
struct GateRule {
    state: Cell<GateState>,
    /// The VMs whose connections are blocked.
    blocked_vms: RefCell<BTreeSet<String>>,
}

/// The VM that opened a connection, once it is known from its first message.
type LinkSource = RefCell<Option<String>>;

impl RelayRule for GateRule {
    type Connection = LinkSource;

    fn open(&self, _number: u64) -> LinkSource {
        LinkSource::default()
    }

    async fn wait_open(&self) {
        while self.state.get() == GateState::Held {
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    }

    async fn passes(&self, source: &LinkSource, _way: RelayDirection, bytes: &[u8]) -> bool {
        if source.borrow().is_none() {
            source.replace(vm_in(bytes));
        }
        self.wait_open().await;
        !self.is_blocked(source)
    }
}

impl GateRule {
    fn is_blocked(&self, source: &LinkSource) -> bool {
        let source = source.borrow();
        let is_blocked_vm = |vm| self.blocked_vms.borrow().contains(vm);
        self.state.get() == GateState::Blocked || source.as_ref().is_some_and(is_blocked_vm)
    }
}

/// Relays connections to one address; tests can hold or block them.
pub struct LinkGate(Rc<TcpRelay<GateRule>>);

impl LinkGate {
    pub async fn start() -> Rc<Self> {
        let relay = TcpRelay::start(GateRule::default());
        Rc::new(Self(relay.await.unwrap()))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.0.set_target(target);
    }

    pub fn set_state(&self, state: GateState) {
        self.0.rule().state.set(state);
    }

    /// Blocks the connections of these VMs, and of no others.
    pub fn block_vms(&self, vms: BTreeSet<String>) {
        self.0.rule().blocked_vms.replace(vms);
    }

    /// Opens the gate for all VMs, and closes the existing connections, which have lost bytes.
    pub fn reopen(&self) {
        self.set_state(GateState::Open);
        self.block_vms(BTreeSet::new());
        self.0.reset();
    }
}

/// Returns the first VM name found in the bytes.
fn vm_in(bytes: &[u8]) -> Option<String> {
    let start = bytes.windows(3).position(|window| window == b"vm-")?;
    let name = bytes.get(start..start + VM_NAME_BYTES)?;
    Some(String::from_utf8_lossy(name).into_owned())
}
