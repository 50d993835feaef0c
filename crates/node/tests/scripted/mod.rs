//! A backend server that writes scripted bytes instead of proper answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::time::sleep;
use lentilshift_node::{EdgeSettings, NodeSettings};

/// The header with the id of a request, which answers repeat.
pub const REQUEST_ID: &str = "request-id";
/// The header of an answer by which a backend server says that it hasn't run a request.
pub const NOT_RUN: &str = "not-run";

/// The header of an answer by which a backend server states its load.
pub const LOAD: &str = "backend-load";

/// A request as the backend server sees it.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// The id that the caller gave.
    pub id: String,
    /// The ids of the earlier requests on this connection.
    pub earlier: Vec<String>,
}

/// What the backend server does with a request.
#[derive(Clone, Debug, Default)]
pub struct ScriptedAnswer {
    /// Whether the backend server runs the request.
    pub runs: bool,
    /// Written at once.
    pub bytes: String,
    /// Written some time later.
    pub later: String,
    /// The time until then, if it isn't the usual one.
    pub pause: Option<Duration>,
    /// Whether the connection closes after that.
    pub closes: bool,
}

/// The time until the later part of an answer.
const LATER: Duration = Duration::from_millis(50);

type AnswerScript = dyn Fn(&ScriptedRequest) -> ScriptedAnswer;

/// A backend server that answers by a script.
pub struct ScriptedBackend {
    pub address: SocketAddr,
    script: Box<AnswerScript>,
    runs: RefCell<Vec<String>>,
    busy: Cell<usize>,
}

impl ScriptedBackend {
    /// Starts a backend server on this thread's runtime.
    pub async fn start(script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            script: Box::new(script),
            runs: RefCell::default(),
            busy: Cell::new(0),
        });
        let accepting = Rc::clone(&server);
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                compio::runtime::spawn(Rc::clone(&accepting).serve(stream)).detach();
            }
        })
        .detach();
        server
    }

    /// Returns how often the backend server has run a request.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| *run == id).count()
    }

    /// Returns the number of open connections that have carried a request.
    #[allow(dead_code, reason = "not every test file counts connections")]
    pub const fn busy_connections(&self) -> usize {
        self.busy.get()
    }

    /// Returns node settings with this backend server, and with the headers that it uses.
    pub fn settings(&self, settings: NodeSettings) -> NodeSettings {
        NodeSettings {
            backend_address: self.address,
            edge: EdgeSettings {
                request_id_header: Some(REQUEST_ID.parse().unwrap()),
                not_run_header: Some(NOT_RUN.parse().unwrap()),
                backend_header: Some("expect-backend".parse().unwrap()),
                load_header: Some(LOAD.parse().unwrap()),
                has_verdict_status: true,
                ..EdgeSettings::default()
            },
            ..settings
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let is_busy = Cell::new(false);
        self.serve_requests(stream, &is_busy).await;
        if is_busy.get() {
            self.busy.set(self.busy.get() - 1);
        }
    }

    async fn serve_requests(&self, mut stream: TcpStream, is_busy: &Cell<bool>) {
        let mut request = ScriptedRequest {
            id: String::new(),
            earlier: Vec::new(),
        };
        while let Some(head) = read_head(&mut stream).await {
            if !is_busy.replace(true) {
                self.busy.set(self.busy.get() + 1);
            }
            let id = header(&head, REQUEST_ID).unwrap_or_default();
            let last = std::mem::replace(&mut request.id, id);
            if !last.is_empty() {
                request.earlier.push(last);
            }
            let answer = (self.script)(&request);
            if answer.runs {
                self.runs.borrow_mut().push(request.id.clone());
            }
            if stream.write_all(answer.bytes).await.0.is_err() {
                return;
            }
            if !answer.later.is_empty() {
                sleep(answer.pause.unwrap_or(LATER)).await;
                let _ = stream.write_all(answer.later).await;
            }
            if answer.closes {
                return;
            }
        }
    }
}

/// Reads the head of a request, and nothing of its body beyond the bytes that came with the head.
/// Returns `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = String::new();
    while !head.contains("\r\n\r\n") {
        let BufResult(read, bytes) = stream.read(vec![0; 16 * 1024]).await;
        let count = read.ok().filter(|count| *count > 0)?;
        head.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    Some(head)
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_owned())
}

/// Returns a complete answer with an id; an empty id is left out.
#[allow(dead_code, reason = "not every test file sends complete answers")]
pub fn answer_text(status: &str, id: &str, headers: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("{REQUEST_ID}: {id}\r\n")
    };
    format!("HTTP/1.1 {status}\r\n{id}{headers}content-length: 2\r\n\r\nok")
}
