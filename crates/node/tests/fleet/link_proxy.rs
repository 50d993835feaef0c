//! A TCP relay between nodes that breaks links on request.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use compio::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The bytes read at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// A direction of a link, seen from the node that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkWay {
    Out,
    Back,
}

/// Relays connections to one node.
pub struct LinkProxy {
    address: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    opened: Cell<u64>,
    /// Connections with lower numbers carry nothing any more.
    silent_below: Cell<u64>,
    /// A direction in which no connection carries anything.
    cut: Cell<Option<LinkWay>>,
    /// The longest delay of a chunk, in milliseconds.
    delay_ms: Cell<u64>,
    random: RefCell<SmallRng>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl LinkProxy {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            target: Cell::default(),
            opened: Cell::default(),
            silent_below: Cell::default(),
            cut: Cell::default(),
            delay_ms: Cell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(1)),
            tasks: RefCell::default(),
        });
        compio::runtime::spawn(Rc::clone(&proxy).accept(listener)).detach();
        proxy
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections opened so far.
    #[allow(dead_code, reason = "not every test file counts connections")]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(Some(target));
    }

    /// Lets the open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.silent_below.set(self.opened.get());
    }

    /// Lets nothing pass in one direction, on old and new connections.
    pub fn set_cut(&self, cut: Option<LinkWay>) {
        self.cut.set(cut);
    }

    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.set(delay_ms);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.tasks.borrow_mut().clear();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let Some(target) = self.target.get() else {
                continue;
            };
            let number = self.opened.get();
            self.opened.set(number + 1);
            let proxy = Rc::clone(&self);
            let task = compio::runtime::spawn(async move {
                let Ok(far) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let out = proxy.pump(&near, &far, LinkWay::Out, number);
                let back = proxy.pump(&far, &near, LinkWay::Back, number);
                futures_util::future::select(std::pin::pin!(out), std::pin::pin!(back)).await;
            });
            self.tasks.borrow_mut().push(task);
        }
    }

    async fn pump(&self, mut from: &TcpStream, mut to: &TcpStream, way: LinkWay, number: u64) {
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        loop {
            let read = from.read(chunk).await;
            chunk = read.1;
            if !matches!(read.0, Ok(1..)) {
                return;
            }
            let delay_ms = self.delay_ms.get();
            if delay_ms > 0 {
                let delay_ms = self.random.borrow_mut().random_range(0..=delay_ms);
                sleep(Duration::from_millis(delay_ms)).await;
            }
            if number < self.silent_below.get() || self.cut.get() == Some(way) {
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
}
