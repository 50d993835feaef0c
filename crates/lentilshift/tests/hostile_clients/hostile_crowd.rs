use std::net::SocketAddr;
use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use futures_util::future::join_all;

use crate::platform_fleet::PlatformFleet;

/// The size of a body that a node buffers whole, in bytes.
const BODY_BYTES: usize = 60_000;
/// The size of the pieces in which a body is sent, in bytes.
const PIECE_BYTES: usize = 1_000;
/// The size of the smallest chunks, in bytes.
const TINY_CHUNK_BYTES: usize = 1;
/// How many of the smallest chunks a body has.
const TINY_CHUNKS: usize = 8_000;
/// The declared size of a body far over the limit, in bytes.
const OVERSIZE_BYTES: u64 = 1 << 34;
/// How much of a body far over the limit is sent, in bytes.
const OVERSIZE_SENT_BYTES: usize = 256 * 1024;
/// The number of short fields of a request within the limits of clients.
const SHORT_FIELDS: usize = 2_000;
/// The number of requests that are sent ahead on a connection.
const REQUESTS_AHEAD: usize = 500;
/// The number of streams of an HTTP/2 connection.
const HTTP2_STREAMS: u8 = 2;
/// The size of the frames of an HTTP/2 body, in bytes.
const HTTP2_FRAME_BYTES: usize = 16_000;
/// How long the first bytes of an HTTP/2 connection take to be answered.
const HTTP2_START: Duration = Duration::from_millis(300);
/// The interval between the bytes of a slow sender.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// The time for which a client tries to connect and to send.
const SEND_TIME: Duration = Duration::from_secs(3);

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostileKind {
    /// A body in one piece that stops just short of its end.
    Whole,
    /// A body in small pieces that stops just short of its end.
    Pieces,
    /// A body in chunks that stops just short of its end.
    Chunks,
    /// A body in very small chunks that stops just short of its end.
    TinyChunks,
    /// A body far over the limit, of which a part is sent.
    Oversize,
    /// A head of legal size with very many short fields, and a body that isn't sent.
    Fields,
    /// The same head without its end.
    OpenFields,
    /// Many requests at once, whose answers aren't read.
    Ahead,
    /// A request that is sent byte by byte.
    SlowSender,
    /// A request with a long answer that isn't read.
    SlowReader,
    /// Streams of one HTTP/2 connection, each with a body that stops just short of its end.
    Streams,
    /// Half a head.
    HalfHead,
    /// Nothing.
    Silent,
}

/// The port and the path to which a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostileDoor {
    /// A route whose requests may be repeated.
    Safe,
    /// A route for uploads.
    Upload,
    /// A path of the callers' port without a route.
    NoRoute,
    /// The path that says whether a node is ready, on its port.
    Ready,
    /// The port for reports of the instance.
    Report,
    /// The port for other nodes.
    Peer,
}

impl HostileDoor {
    fn address(self, fleet: &PlatformFleet) -> SocketAddr {
        match self {
            Self::Safe | Self::Upload | Self::NoRoute => fleet.caller_address(0),
            Self::Ready => fleet.ready_address(0),
            Self::Report => fleet.report_address(0),
            Self::Peer => fleet.peer_address(0),
        }
    }

    const fn path(self) -> &'static str {
        match self {
            Self::Safe => "/open/7",
            Self::Upload | Self::Peer => "/uploads/7",
            Self::NoRoute => "/nothing/7",
            Self::Ready => "/ready",
            Self::Report => "/instances/i-0",
        }
    }

    const fn method(self) -> &'static str {
        match self {
            Self::Report => "PUT",
            _ => "POST",
        }
    }
}

/// The connections of a crowd, which stay open until it is dropped.
pub struct HostileCrowd {
    _open: Vec<TcpStream>,
}

impl HostileCrowd {
    /// Lets `count` clients connect at once and send what their kind does, each for a limited time.
    pub async fn send(
        fleet: &PlatformFleet,
        kind: HostileKind,
        door: HostileDoor,
        count: usize,
    ) -> Self {
        let address = door.address(fleet);
        let pieces = pieces_of(kind, door);
        let clients = (0..count).map(|_| send_pieces(address, kind, &pieces));
        let open = join_all(clients).await.into_iter().flatten().collect();
        Self { _open: open }
    }
}

/// Connects and sends until everything is sent, the node closes, or the time is over.
async fn send_pieces(
    address: SocketAddr,
    kind: HostileKind,
    pieces: &[Vec<u8>],
) -> Option<TcpStream> {
    let connecting = timeout(SEND_TIME, TcpStream::connect(address)).await;
    let mut stream = connecting.ok()?.ok()?;
    let sending = async {
        for piece in pieces {
            if stream.write_all(piece.clone()).await.0.is_err() {
                return;
            }
            match kind {
                HostileKind::SlowSender => sleep(SLOW_INTERVAL).await,
                HostileKind::Streams => sleep(HTTP2_START).await,
                _ => {}
            }
        }
    };
    let _ = timeout(SEND_TIME, sending).await;
    Some(stream)
}

/// Returns what a client sends, in the pieces in which it is sent.
fn pieces_of(kind: HostileKind, door: HostileDoor) -> Vec<Vec<u8>> {
    let with_length =
        |bytes: u64| head(door, door.method(), &format!("Content-Length: {bytes}\r\n"));
    let body = vec![b'b'; BODY_BYTES - 1];
    match kind {
        HostileKind::Whole => vec![[with_length(BODY_BYTES as u64), body].concat()],
        HostileKind::Pieces => {
            let pieces = body.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
            [with_length(BODY_BYTES as u64)]
                .into_iter()
                .chain(pieces)
                .collect()
        }
        HostileKind::Chunks => chunked(door, PIECE_BYTES, BODY_BYTES / PIECE_BYTES),
        HostileKind::TinyChunks => vec![chunked(door, TINY_CHUNK_BYTES, TINY_CHUNKS).concat()],
        HostileKind::Oversize => {
            vec![[with_length(OVERSIZE_BYTES), vec![b'b'; OVERSIZE_SENT_BYTES]].concat()]
        }
        HostileKind::Fields => {
            let fields = format!("Content-Length: 9\r\n{}", "a:1\r\n".repeat(SHORT_FIELDS));
            vec![head(door, door.method(), &fields)]
        }
        HostileKind::OpenFields => {
            let mut fields = head(door, door.method(), &"a:1\r\n".repeat(SHORT_FIELDS));
            fields.truncate(fields.len() - 2);
            vec![fields]
        }
        HostileKind::Ahead => vec![head(door, "GET", "").repeat(REQUESTS_AHEAD)],
        HostileKind::SlowSender => with_length(BODY_BYTES as u64)
            .into_iter()
            .map(|byte| vec![byte])
            .collect(),
        HostileKind::SlowReader => vec![head(door, "GET", "")],
        HostileKind::Streams => http2_streams(door),
        HostileKind::HalfHead => {
            let mut half = head(door, "GET", "");
            half.truncate(half.len() / 2);
            vec![half]
        }
        HostileKind::Silent => Vec::new(),
    }
}

/// Returns a body in chunks, without the last one.
fn chunked(door: HostileDoor, chunk_bytes: usize, chunks: usize) -> Vec<Vec<u8>> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "b".repeat(chunk_bytes));
    let head = head(door, door.method(), "Transfer-Encoding: chunked\r\n");
    let chunks = std::iter::repeat_n(chunk.into_bytes(), chunks);
    std::iter::once(head).chain(chunks).collect()
}

/// Returns the pieces of an HTTP/2 connection with some streams.
fn http2_streams(door: HostileDoor) -> Vec<Vec<u8>> {
    const SETTINGS: u8 = 4;
    const ACK: u8 = 1;
    const HEADERS: u8 = 1;
    const END_HEADERS: u8 = 4;
    const DATA: u8 = 0;
    let frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
        let length = u32::try_from(payload.len()).expect("a frame is small");
        let [_, length @ ..] = length.to_be_bytes();
        let start = [length.as_slice(), &[kind, flags, 0, 0, 0, stream]].concat();
        [start, payload.to_vec()].concat()
    };
    let text = |name: u8, value: &str| {
        let length = u8::try_from(value.len()).expect("a value is short");
        [&[name, length], value.as_bytes()].concat()
    };
    // The indices 3 and 6 of the static table: the method POST and the scheme http.
    let fields = [
        vec![0x83, 0x86],
        text(1, "cairns.example"),
        text(4, door.path()),
    ]
    .concat();
    let start = [
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        frame(SETTINGS, 0, 0, &[]),
    ];
    let body = vec![b'b'; BODY_BYTES - 1];
    let streams = (0..HTTP2_STREAMS).map(|number| {
        let stream = number * 2 + 1;
        let data = body.chunks(HTTP2_FRAME_BYTES);
        let data = data.flat_map(|data| frame(DATA, 0, stream, data));
        let head = frame(HEADERS, END_HEADERS, stream, &fields);
        head.into_iter().chain(data).collect()
    });
    let acknowledged = frame(SETTINGS, ACK, 0, &[]);
    [start.concat(), acknowledged]
        .into_iter()
        .chain(streams)
        .collect()
}

/// Returns the head of a request.
fn head(door: HostileDoor, method: &str, fields: &str) -> Vec<u8> {
    let text = format!(
        "{method} {} HTTP/1.1\r\nHost: cairns.example\r\nRequest-Id: 9c41d07be2a35f68\r\n\
         Deadline-Ms: 6000\r\n{fields}\r\n",
        door.path()
    );
    text.into_bytes()
}
