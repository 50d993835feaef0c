use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;

/// The bytes read at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// A direction of a connection, seen from the side that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayWay {
    /// From the side that opened it.
    Out,
    /// Towards the side that opened it.
    Back,
}

/// Decides what passes a [`TcpRelay`].
#[allow(
    async_fn_in_trait,
    reason = "one loop on one thread, so futures needn't be Send"
)]
pub trait RelayRule: 'static {
    /// What is known of one connection.
    type Connection;

    /// Notes a connection that was opened; the number counts from 0.
    fn open(&self, number: u64) -> Self::Connection;

    /// Waits until a connection may be passed on.
    async fn wait_open(&self) {}

    /// Waits until some bytes may go on, and returns whether they do or are lost.
    async fn passes(&self, connection: &Self::Connection, way: RelayWay, bytes: &[u8]) -> bool;
}

/// Passes connections on to an address, as far as its rule lets them.
pub struct TcpRelay<R> {
    rule: R,
    address: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    opened: Cell<u64>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl<R: RelayRule> TcpRelay<R> {
    /// Starts a relay on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be listened on.
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

    /// Returns the rule.
    pub const fn rule(&self) -> &R {
        &self.rule
    }

    /// Returns the address to connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that connections are passed on to; until then they are closed.
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
        let out = self.pump(&near, &far, &connection, RelayWay::Out);
        let back = self.pump(&far, &near, &connection, RelayWay::Back);
        futures_util::future::select(pin!(out), pin!(back)).await;
    }

    async fn pump(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        connection: &R::Connection,
        way: RelayWay,
    ) {
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        loop {
            let read = from.read(chunk).await;
            chunk = read.1;
            if !matches!(read.0, Ok(1..)) {
                return;
            }
            if self.rule.passes(connection, way, &chunk).await {
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
