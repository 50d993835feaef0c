//! A client that sends several requests on a connection before it reads the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use lentilshift_node::{AheadSettings, NodeSettings};
use standin::BackendSettings;

use crate::fleet::{Fleet, KEY};

/// The timeout of every wait in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection and the bytes that were read from it.
pub struct PipelineClient {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// An answer as it arrived.
#[derive(Debug)]
pub struct PipelineAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub arrived: Instant,
}

impl PipelineAnswer {
    pub fn closes(&self) -> bool {
        self.head
            .to_ascii_lowercase()
            .contains("\r\nconnection: close")
    }
}

/// Returns the text of a request of the team with [`KEY`], without a body.
pub fn request(method: &str, path: &str, trace: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\nx-trace: {trace}\r\n{headers}\r\n"
    )
}

/// Returns the text of a read that runs for `ms` milliseconds and is answered with `bytes` bytes.
pub fn read(ms: u64, bytes: usize) -> String {
    let path = format!("/filings/filings/1?ms={ms}&bytes={bytes}");
    request("GET", &path, &format!("read-{bytes}"), "")
}

/// Returns the text of a write with a body.
pub fn write(ms: u64, trace: &str, body: &str) -> String {
    let path = format!("/filings/filings/1?ms={ms}");
    let length = format!("content-length: {}\r\n", body.len());
    request("POST", &path, trace, &length) + body
}

impl PipelineClient {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self::new(stream)
    }

    pub const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.to_owned()).await.0.unwrap();
    }

    /// Reads the next answer, or returns `None` if the connection ends before it begins.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends within an answer.
    pub async fn next(&mut self) -> Option<PipelineAnswer> {
        timeout(WAIT_TIMEOUT, self.read_answer())
            .await
            .expect("an answer or the end of the connection arrives in time")
    }

    /// Reads the next answer, which must be there.
    pub async fn answer(&mut self) -> PipelineAnswer {
        self.next().await.expect("the connection has ended")
    }

    /// Reads answers until the connection ends, and returns their statuses.
    pub async fn statuses(&mut self) -> Vec<u16> {
        let mut statuses = Vec::new();
        while let Some(answer) = self.next().await {
            statuses.push(answer.status);
        }
        statuses
    }

    async fn read_answer(&mut self) -> Option<PipelineAnswer> {
        let end = loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                break end + 4;
            }
            if !self.fill().await {
                assert!(self.buffer.is_empty(), "the answer's head is cut");
                return None;
            }
        };
        let head = String::from_utf8(self.buffer.drain(..end).collect()).unwrap();
        let status = head[9..12].parse().unwrap();
        let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
        assert!(header(&head, "transfer-encoding").is_none(), "{head}");
        while self.buffer.len() < length {
            assert!(self.fill().await, "the answer's body is cut");
        }
        Some(PipelineAnswer {
            status,
            head,
            body: self.buffer.drain(..length).collect(),
            arrived: Instant::now(),
        })
    }

    /// Reads more bytes, and returns whether there were any.
    async fn fill(&mut self) -> bool {
        let BufResult(read, bytes) = self.stream.read(vec![0; 64 * 1024]).await;
        let count = read.unwrap_or(0);
        self.buffer.extend_from_slice(&bytes[..count]);
        count > 0
    }
}

fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Starts a backend server of `filings` and its node.
pub async fn one_node() -> Fleet {
    one_node_with(AheadSettings::default(), 10_000).await
}

/// Starts the same with settings of the node.
pub async fn one_node_with(ahead: AheadSettings, head_limit_ms: u64) -> Fleet {
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default();
    fleet
        .add_with_settings("filings-1", "filings", backend, |settings| NodeSettings {
            ahead,
            head_limit_ms,
            ..settings
        })
        .await;
    fleet.wait_until_warm().await;
    fleet
}

/// Starts backend servers of `filings` and `registry` and their nodes, with a link between them.
pub async fn two_nodes() -> Fleet {
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default;
    fleet.add("filings-1", "filings", backend()).await;
    fleet.add("registry-1", "registry", backend()).await;
    fleet.wait_until_warm().await;
    fleet
}

/// Connects to the first node.
pub async fn connect(fleet: &Fleet) -> PipelineClient {
    PipelineClient::connect(fleet.vms[0].node.caller_address()).await
}

/// Returns the number of requests that the first backend server runs.
pub fn running(fleet: &Fleet) -> usize {
    fleet.vms[0].backend.record().running()
}

/// Waits until the backend server runs `count` requests.
pub async fn wait_until_running(fleet: &Fleet, count: usize) {
    let waiting = async {
        while running(fleet) != count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("{} requests run, not {count}", running(fleet)));
}

/// Returns a metric of the first node, without a fraction.
pub async fn metric(fleet: &Fleet, name: &str) -> u64 {
    let url = format!("http://{}/metrics", fleet.vms[0].node.admin_address());
    let answer = fleet.client.get(url).unwrap().send().await.unwrap();
    let text = answer.text().await.unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}
