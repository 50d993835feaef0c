use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;

/// The size of the buffer for each direction of a relayed connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to an address and counts their bytes in both directions.
#[derive(Clone, Debug)]
pub(crate) struct ByteRelay {
    address: SocketAddr,
    bytes: Rc<Cell<u64>>,
}

impl ByteRelay {
    /// Starts a relay to `target` on the event loop of this thread.
    pub(crate) async fn start(target: SocketAddr, bytes: Rc<Cell<u64>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Self {
            address: listener.local_addr()?,
            bytes,
        };
        let byte_count = Rc::clone(&relay.bytes);
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(relay_connection(stream, target, Rc::clone(&byte_count))).detach();
            }
        })
        .detach();
        Ok(relay)
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, bytes: Rc<Cell<u64>>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let upstream = copy_bytes(client.clone(), server.clone(), Rc::clone(&bytes));
    let downstream = copy_bytes(server, client, bytes);
    futures_util::join!(upstream, downstream);
}

async fn copy_bytes(mut from: TcpStream, mut to: TcpStream, bytes: Rc<Cell<u64>>) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        let Ok(1..) = read else { break };
        let BufResult(written, sent) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        bytes.set(bytes.get() + sent.len() as u64);
        buffer = sent;
    }
    let _ = to.shutdown().await;
}
