use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;

/// The size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 8 * 1024;

/// A direction of a relayed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayDirection {
    /// From the side that opened the connection to the target.
    Forward,
    /// From the target to the side that opened the connection.
    Backward,
}

/// Decides which connections and bytes a [`TcpRelay`] forwards.
#[allow(
    async_fn_in_trait,
    reason = "one loop on one thread, so futures needn't be Send"
)]
pub trait RelayRule: 'static {
    /// The state that the rule keeps for one connection.
    type Connection;

    /// Returns the state of a new connection; connections are numbered from 0.
    fn open(&self, number: u64) -> Self::Connection;

    /// Waits until a new connection may be opened to the target.
    async fn wait_open(&self) {}

    /// Waits as long as some bytes are delayed, and returns whether they are forwarded or dropped.
    async fn passes(
        &self,
        connection: &Self::Connection,
        direction: RelayDirection,
        bytes: &[u8],
    ) -> bool;
}

/// Forwards TCP connections to a target address, as its [`RelayRule`] allows.
pub struct TcpRelay<R> {
    rule: R,
    address: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    opened: Cell<u64>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl<R: RelayRule> TcpRelay<R> {
    /// Starts a relay on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when the relay can't listen on a port.
    pub async fn start(rule: R) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Rc::new(Self {
            rule,
            address: listener.local_addr()?,
            target: Cell::default(),
            opened: Cell::default(),
            tasks: RefCell::default(),
        });
        compio::runtime::spawn(Rc::clone(&relay).accept(listener)).detach();
        Ok(relay)
    }

    /// Returns the rule, so that a test can change what it allows.
    pub const fn rule(&self) -> &R {
        &self.rule
    }

    /// Returns the address on which the relay listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target address; until then the relay closes new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(Some(target));
    }

    /// Returns the number of connections opened so far.
    pub const fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.tasks.borrow_mut().clear();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.opened.get();
            self.opened.set(number + 1);
            let relay = Rc::clone(&self);
            let task = compio::runtime::spawn(async move { relay.relay(near, number).await });
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task);
        }
    }

    async fn relay(&self, near: TcpStream, number: u64) {
        self.rule.wait_open().await;
        let Some(target) = self.target.get() else {
            return;
        };
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let connection = self.rule.open(number);
        let forward = self.pump(&near, &far, &connection, RelayDirection::Forward);
        let backward = self.pump(&far, &near, &connection, RelayDirection::Backward);
        futures_util::future::select(pin!(forward), pin!(backward)).await;
    }

    async fn pump(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        connection: &R::Connection,
        direction: RelayDirection,
    ) {
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        loop {
            let read = from.read(chunk).await;
            chunk = read.1;
            if !matches!(read.0, Ok(1..)) {
                return;
            }
            if self.rule.passes(connection, direction, &chunk).await {
                let written = to.write_all(chunk).await;
                chunk = written.1;
                if written.0.is_err() {
                    return;
                }
            }
            chunk.clear();
        }
    }
}
