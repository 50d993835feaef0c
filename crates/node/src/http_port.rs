use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::select;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, Version};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::server::conn::auto;
use limit::ClientPort;
use model::RefusalReason;

use crate::answer_body::AnswerBody;
use crate::call_answer::CallRefusal;
use crate::caller_body::CallerBody;
use crate::caller_stream::CallerStream;
use crate::client_budget::ClientConnection;
use crate::client_watch::close_excess;
use crate::close_watch::CloseWatch;
use crate::count_guard::CountGuard;
use crate::early_answers::{EarlyAnswer, EarlyAnswers};
use crate::http_answer::refusal_response;
use crate::local_executor::LocalExecutor;
use crate::node_core::NodeCore;
use crate::request_ahead::{AnswerEnd, RequestsAhead};
use crate::waiting_body::WaitingBody;

/// The interval of keep-alive pings on an HTTP/2 connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// The time after which an HTTP/2 connection is closed if a ping isn't answered.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after which a client may retry a request for which there was no memory, in
/// milliseconds.
const SHORT_RETRY_AFTER_MS: u64 = 1_000;

/// The error of a connection whose client has left while nothing was read from it.
const UNREAD_CLOSE: &str = "the client closed the connection before its requests were answered";

/// The peers that a port serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PortUser {
    /// Callers, whose connections are closed gracefully when the node stops, so that they move to
    /// other nodes.
    Caller,
    /// The local backend server, which is served until the last running call has ended.
    Backend,
    /// Operators, and the platform when it checks whether the node is ready.
    Operator,
    /// The backend server when it reports its own state.
    Report,
    /// What collects metrics.
    Metric,
}

impl PortUser {
    /// Returns the port under which the connections are counted.
    const fn client_port(self) -> ClientPort {
        match self {
            Self::Caller => ClientPort::Callers,
            Self::Backend => ClientPort::Egress,
            Self::Operator => ClientPort::Admin,
            Self::Report => ClientPort::Reports,
            Self::Metric => ClientPort::Metrics,
        }
    }
}

/// Accepts connections on a port and answers HTTP/1.1 and HTTP/2 requests with a handler.
pub(crate) async fn serve_port<A, F>(
    core: Rc<NodeCore>,
    user: PortUser,
    listener: TcpListener,
    handler: A,
) where
    A: Fn(Rc<NodeCore>, Request<CallerBody>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                log::trace!("event=connection-opened user={user:?} from={from}");
                let client = core.clients.open(user.client_port());
                close_excess(&core, client.port());
                if client.is_closed() {
                    continue;
                }
                let closing = Rc::clone(&client);
                let connection =
                    serve_connection(Rc::clone(&core), user, stream, client, handler.clone());
                compio::runtime::spawn(async move {
                    select(pin!(connection), pin!(closing.closed())).await;
                })
                .detach();
            }
            Err(error) => {
                log::warn!("event=accept-failed error={:?}", error.to_string());
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<A, F>(
    core: Rc<NodeCore>,
    user: PortUser,
    stream: TcpStream,
    client: Rc<ClientConnection>,
    handler: A,
) where
    A: Fn(Rc<NodeCore>, Request<CallerBody>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let (count, shutdown) = match user {
        PortUser::Caller => (Some(&core.open_connections), &core.drain),
        PortUser::Backend => (Some(&core.egress_connections), &core.close),
        PortUser::Operator | PortUser::Report | PortUser::Metric => (None, &core.close),
    };
    let _open = count.map(CountGuard::new);
    let service_core = Rc::clone(&core);
    let has_request = Rc::new(Cell::new(false));
    let request_seen = Rc::clone(&has_request);
    let service_client = Rc::clone(&client);
    let runs_ahead = user == PortUser::Caller && core.settings.ahead.max_requests > 1;
    let ahead = runs_ahead.then(|| RequestsAhead::new(&core));
    let early_answers = EarlyAnswers::new(&core);
    let (service_ahead, service_early) = (ahead.clone(), Rc::clone(&early_answers));
    let service_handler = handler.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request_seen.set(true);
        let has_body = !request.body().is_end_stream();
        let (open, is_admitted) = service_client.start_request(has_body);
        request.extensions_mut().insert(open.request());
        close_excess(&service_core, service_client.port());
        let core = Rc::clone(&service_core);
        let is_http1 = request.version() < Version::HTTP_2;
        let ahead = service_ahead.clone().filter(|_| is_http1);
        let early_answers = Rc::clone(&service_early);
        let (early, end) = take_early(&core, &early_answers, ahead.as_ref(), &request);
        // At the other ports, requests are few, and the platform and the fleet depend on them.
        let is_admitted = is_admitted || user != PortUser::Caller;
        let answer = early.or_else(|| {
            let request = request.map(CallerBody::Incoming);
            is_admitted.then(|| EarlyAnswer::new(service_handler(Rc::clone(&core), request)))
        });
        async move {
            let mut response = match answer {
                Some(mut answer) => poll_fn(|context| answer.poll_answer(context)).await,
                None => short_response(&core).map(WaitingBody::new),
            };
            response.body_mut().hold_end(end);
            response.body_mut().hold_client(open);
            // Requests that were passed on are still answered after this one.
            let is_last = early_answers.is_empty();
            if is_http1 && user == PortUser::Caller && core.stop.is_triggered() && is_last {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                if let Some(ahead) = ahead {
                    ahead.close();
                }
            }
            Ok::<_, Infallible>(response)
        }
    });
    let settings = &core.settings;
    let clients = &settings.clients;
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(Duration::from_millis(settings.head_limit_ms))
        .max_headers(clients.fields)
        .max_buf_size(clients.head_bytes);
    builder
        .http2()
        .timer(CompioTimer)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .initial_stream_window_size(clients.http2_window_bytes)
        .initial_connection_window_size(clients.http2_window_bytes)
        .max_concurrent_streams(clients.http2_streams)
        .max_header_list_size(u32::try_from(clients.head_bytes).unwrap_or(u32::MAX));
    let mut close_watch = CloseWatch::new(stream.clone(), Rc::clone(&client));
    let polled_client = Rc::clone(&client);
    let stream = CallerStream::new(stream, has_request, settings, ahead.clone(), client);
    let connection = builder.serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut shutdown = pin!(shutdown.wait());
    let (mut is_stopping, mut is_ending) = (false, false);
    let result = poll_fn(|context| {
        loop {
            polled_client.begin_poll();
            if let Poll::Ready(result) = connection.as_mut().poll(context) {
                return Poll::Ready(result);
            }
            if close_watch.poll_closed(context).is_ready() {
                return Poll::Ready(Err(Box::from(UNREAD_CLOSE)));
            }
            if let Some(ahead) = &ahead {
                let handler = |request| handler(Rc::clone(&core), request);
                early_answers.poll(context, ahead, handler);
            }
            is_stopping = is_stopping || shutdown.as_mut().poll(context).is_ready();
            // The end of the connection waits for the requests that were passed on.
            if !is_stopping || is_ending || !early_answers.is_empty() {
                return Poll::Pending;
            }
            is_ending = true;
            connection.as_mut().graceful_shutdown();
        }
    });
    log_end(result.await);
}

/// Begins the turn of a request, and returns its answer if it was started before.
fn take_early<F: Future<Output = Response<AnswerBody>>>(
    core: &NodeCore,
    early_answers: &EarlyAnswers<F>,
    ahead: Option<&Rc<RequestsAhead>>,
    request: &Request<Incoming>,
) -> (Option<EarlyAnswer<F>>, Option<AnswerEnd>) {
    let Some(ahead) = ahead else {
        return (None, None);
    };
    let (number, end) = ahead.begin(request);
    let early = early_answers.take(number, request).unwrap_or_else(|_| {
        if core.may_log() {
            log::warn!("event=request-ahead-dropped number={number}");
        }
        ahead.give_up();
        None
    });
    (early, Some(end))
}

/// Returns the refusal of a request for which there is no memory.
fn short_response(core: &NodeCore) -> Response<AnswerBody> {
    let refusal = CallRefusal::not_run(RefusalReason::Overloaded);
    let refusal = refusal.with_retry_after_ms(SHORT_RETRY_AFTER_MS);
    refusal_response(core, core.new_request_id(), "entry", &refusal)
}

fn log_end(result: Result<(), Box<dyn std::error::Error + Send + Sync>>) {
    if let Err(error) = result {
        log::debug!("event=connection-ended error={:?}", error.to_string());
    }
}
