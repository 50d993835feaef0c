//! A TCP proxy between nodes that injects link faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{RelayDirection, RelayRule, TcpRelay};

pub use standin::RelayDirection as LinkDirection;

/// The faults that the proxy injects.
struct LinkFaults {
    /// Connections with lower numbers drop all data.
    silent_below: Cell<u64>,
    /// The direction in which all connections drop data.
    blocked: Cell<Option<LinkDirection>>,
    /// The maximum random delay of a chunk, in milliseconds.
    max_delay_ms: Cell<u64>,
    random: RefCell<SmallRng>,
}

impl RelayRule for LinkFaults {
    type Connection = u64;

    fn open(&self, number: u64) -> u64 {
        number
    }

    async fn passes(&self, number: &u64, direction: RelayDirection, _bytes: &[u8]) -> bool {
        let max_delay_ms = self.max_delay_ms.get();
        if max_delay_ms > 0 {
            let delay_ms = self.random.borrow_mut().random_range(0..=max_delay_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        *number >= self.silent_below.get() && self.blocked.get() != Some(direction)
    }
}

/// Relays the connections to one node.
pub struct LinkProxy(Rc<TcpRelay<LinkFaults>>);

impl LinkProxy {
    pub async fn start() -> Rc<Self> {
        let faults = LinkFaults {
            silent_below: Cell::default(),
            blocked: Cell::default(),
            max_delay_ms: Cell::default(),
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

    /// Drops all data on the open connections without closing them; new connections work.
    pub fn silence(&self) {
        self.0.rule().silent_below.set(self.0.opened());
    }

    /// Drops all data in one direction, on open and new connections.
    pub fn set_blocked(&self, direction: Option<LinkDirection>) {
        self.0.rule().blocked.set(direction);
    }

    pub fn set_max_delay_ms(&self, max_delay_ms: u64) {
        self.0.rule().max_delay_ms.set(max_delay_ms);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.0.reset();
    }
}
