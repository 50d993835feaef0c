use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use standin::{RelayRule, RelayWay, TcpRelay};

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

/// What a gate lets pass.
#[derive(Default)]
struct GateRule {
    state: Cell<GateState>,
    /// The VMs that nothing passes from or to.
    cut_vms: RefCell<BTreeSet<String>>,
}

/// The VM that opened a connection, once its first message has told.
type LinkSource = RefCell<Option<String>>;

impl RelayRule for GateRule {
    type Connection = LinkSource;

    fn open(&self, _number: u64) -> LinkSource {
        LinkSource::default()
    }

    async fn wait_open(&self) {
        while self.state.get() == GateState::Held {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    async fn passes(&self, source: &LinkSource, _way: RelayWay, bytes: &[u8]) -> bool {
        if source.borrow().is_none() {
            source.replace(vm_in(bytes));
        }
        self.wait_open().await;
        !self.is_cut(source)
    }
}

impl GateRule {
    fn is_cut(&self, source: &LinkSource) -> bool {
        let source = source.borrow();
        let is_cut_vm = |vm| self.cut_vms.borrow().contains(vm);
        self.state.get() == GateState::Cut || source.as_ref().is_some_and(is_cut_vm)
    }
}

/// Relays connections to one address, and stops to on request.
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

    /// Lets nothing pass from and to these VMs.
    pub fn cut_vms(&self, vms: BTreeSet<String>) {
        self.0.rule().cut_vms.replace(vms);
    }

    /// Lets all pass on new connections, and closes the old ones, which have lost bytes.
    pub fn mend(&self) {
        self.set_state(GateState::Open);
        self.cut_vms(BTreeSet::new());
        self.0.reset();
    }
}

/// Returns the name of a VM that stands in some bytes.
fn vm_in(bytes: &[u8]) -> Option<String> {
    let start = bytes.windows(3).position(|window| window == b"vm-")?;
    let name = bytes.get(start..start + VM_NAME_BYTES)?;
    Some(String::from_utf8_lossy(name).into_owned())
}
