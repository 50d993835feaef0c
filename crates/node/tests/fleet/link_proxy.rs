//! A TCP relay between nodes that breaks links on request.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{RelayDirection, RelayRule, TcpRelay};

pub use standin::RelayDirection as LinkWay;

/// What is wrong with the links.
struct LinkFaults {
    /// Connections with lower numbers carry nothing any more.
    silent_below: Cell<u64>,
    /// A direction in which no connection carries anything.
    cut: Cell<Option<LinkWay>>,
    /// The longest delay of a chunk, in milliseconds.
    delay_ms: Cell<u64>,
    random: RefCell<SmallRng>,
}

impl RelayRule for LinkFaults {
    type Connection = u64;

    fn open(&self, number: u64) -> u64 {
        number
    }

    async fn passes(&self, number: &u64, way: RelayDirection, _bytes: &[u8]) -> bool {
        let delay_ms = self.delay_ms.get();
        if delay_ms > 0 {
            let delay_ms = self.random.borrow_mut().random_range(0..=delay_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        *number >= self.silent_below.get() && self.cut.get() != Some(way)
    }
}

/// Relays connections to one node.
pub struct LinkProxy(Rc<TcpRelay<LinkFaults>>);

impl LinkProxy {
    pub async fn start() -> Rc<Self> {
        let faults = LinkFaults {
            silent_below: Cell::default(),
            cut: Cell::default(),
            delay_ms: Cell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(1)),
        };
        Rc::new(Self(TcpRelay::start(faults).await.unwrap()))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Returns the number of connections opened so far.
    #[allow(dead_code, reason = "not every test file counts connections")]
    pub fn opened(&self) -> u64 {
        self.0.opened()
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.0.set_target(target);
    }

    /// Lets the open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.0.rule().silent_below.set(self.0.opened());
    }

    /// Lets nothing pass in one direction, on old and new connections.
    pub fn set_cut(&self, cut: Option<LinkWay>) {
        self.0.rule().cut.set(cut);
    }

    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.0.rule().delay_ms.set(delay_ms);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.0.reset();
    }
}
