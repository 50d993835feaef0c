use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::conn::auto;

use crate::answer_body::AnswerBody;
use crate::caller_stream::CallerStream;
use crate::leave_stages::CloseStage;
use crate::local_executor::LocalExecutor;
use crate::node_core::NodeCore;

/// The largest head of an HTTP/1.1 request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The largest head of an HTTP/2 request, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 * 1024;
/// The time between probes of an HTTP/2 connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(20);
/// The time after which an HTTP/2 connection that doesn't answer a probe is closed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// The requests that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_000;

/// Answers HTTP/1.1 and HTTP/2 requests on a port, and closes its connections at a stage.
pub(crate) async fn serve_port<A, F>(
    core: Rc<NodeCore>,
    listener: TcpListener,
    answer: A,
    close: CloseStage,
) where
    A: Fn(Rc<NodeCore>, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(Rc::clone(&core), stream, answer.clone(), close);
                compio::runtime::spawn(connection).detach();
            }
            Err(error) => {
                log::warn!("event=accept-failed error={:?}", error.to_string());
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<A, F>(core: Rc<NodeCore>, stream: TcpStream, answer: A, close: CloseStage)
where
    A: Fn(Rc<NodeCore>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let _open = CountGuard::new(&core.open_connections);
    let service_core = Rc::clone(&core);
    let has_request = Rc::new(Cell::new(false));
    let request_mark = Rc::clone(&has_request);
    let service = service_fn(move |request| {
        request_mark.set(true);
        let core = Rc::clone(&service_core);
        let version = request.version();
        let work = answer(Rc::clone(&core), request);
        async move {
            let mut response = work.await;
            if version < Version::HTTP_2 && core.leave.leaving.is_given() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let settings = &core.settings;
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(Duration::from_millis(settings.head_limit_ms))
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(CompioTimer)
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    let stream = CallerStream::new(stream, has_request, settings);
    let connection = builder.serve_connection(stream, service);
    let mut connection = pin!(connection);
    // A connection opened after the stage is answered once, then its head times out.
    if !close(&core).is_given() {
        let closing = pin!(close(&core).wait());
        if let Either::Left((result, _)) = select(connection.as_mut(), closing).await {
            return log_end(result);
        }
        connection.as_mut().graceful_shutdown();
    }
    log_end(connection.await);
}

fn log_end(result: Result<(), Box<dyn std::error::Error + Send + Sync>>) {
    if let Err(error) = result {
        log::debug!("event=connection-ended error={:?}", error.to_string());
    }
}

/// Counts an open connection for as long as it lives.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
