use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};

/// The longest time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(7);
/// The pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(15);
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a caller was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole answer with this status.
    Answered(u16),
    /// An answer to another request.
    Foreign(String),
    /// The connection ended, or nothing came in time, before the answer was whole.
    Cut,
}

/// A request of the soak, and what came of it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub path: String,
    pub is_safe: bool,
    pub outcome: CallerOutcome,
}

/// A caller that sends one request after the other over a connection for as long as it is open.
pub struct SoakCaller {
    pub number: usize,
    pub address: SocketAddr,
    pub is_over: Rc<Cell<bool>>,
}

impl SoakCaller {
    /// Sends requests until the soak is over, every second of which may be repeated.
    pub async fn run(self) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        let mut open = None;
        while !self.is_over.get() {
            sleep(PAUSE).await;
            let stream = match open.take() {
                Some(stream) => stream,
                None => match TcpStream::connect(self.address).await {
                    Ok(stream) => stream,
                    Err(_) => continue,
                },
            };
            let (request, stream) = self.exchange(stream, sent.len()).await;
            sent.push(request);
            open = stream;
        }
        sent
    }

    /// Sends a request, and returns the connection if it can be used again.
    async fn exchange(
        &self,
        mut stream: TcpStream,
        count: usize,
    ) -> (SentRequest, Option<TcpStream>) {
        let is_safe = count.is_multiple_of(2);
        let (method, prefix) = if is_safe {
            ("GET", "open")
        } else {
            ("POST", "slow")
        };
        let id = format!("{:08x}{count:08x}", self.number);
        let path = format!("/{prefix}/{id}");
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: cairns.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        );
        let is_sent = stream.write_all(text).await.0.is_ok();
        let answer = if is_sent {
            let reading = read_answer(&mut stream);
            timeout(ANSWER_TIMEOUT, reading).await.ok().flatten()
        } else {
            None
        };
        let (outcome, is_open) = match answer {
            None => (CallerOutcome::Cut, false),
            Some(answer) => answer.outcome(&id),
        };
        let request = SentRequest {
            path,
            is_safe,
            outcome,
        };
        (request, is_open.then_some(stream))
    }
}

/// A whole answer.
struct WholeAnswer {
    head: String,
    body: String,
}

impl WholeAnswer {
    /// Returns the outcome for the request with an id, and whether the connection stays open.
    fn outcome(&self, id: &str) -> (CallerOutcome, bool) {
        let status = self.head.split(' ').nth(1);
        let status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
        let is_own = header(&self.head, "request-id").is_none_or(|named| named == id);
        let is_whole = status != 200 || self.body.ends_with("answers");
        let is_open = header(&self.head, "connection").as_deref() != Some("close");
        if is_own && is_whole {
            (CallerOutcome::Answered(status), is_open)
        } else {
            let text = format!("{}{}", self.head, self.body);
            (CallerOutcome::Foreign(text), false)
        }
    }
}

/// Reads an answer with a stated length; returns `None` if the connection ends before.
async fn read_answer(stream: &mut TcpStream) -> Option<WholeAnswer> {
    let mut bytes = Vec::new();
    loop {
        let head_end = bytes.windows(4).position(|window| window == HEAD_END);
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
            let length = header(&head, "content-length")?.parse::<usize>().ok()?;
            let body = &bytes[head_end + HEAD_END.len()..];
            if body.len() >= length {
                let body = String::from_utf8_lossy(body).into_owned();
                return Some(WholeAnswer { head, body });
            }
        }
        let BufResult(count, more) = stream.read(vec![0; 4_096]).await;
        match count {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&more[..count]),
        }
    }
}

/// Returns the value of a header in a head in lower case.
fn header(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    Some(value.trim().to_owned())
}
