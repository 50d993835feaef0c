//! Limits on what a connection can make a node buffer before it has proved possession of the fleet
//! secret.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::{JoinHandle, spawn};
use compio::time::timeout;
use cyper_core::HyperStream;
use h2::SendStream;
use h2::client::SendRequest;
use http::Request;
use http_body_util::Empty;
use hyper_util::rt::TokioIo;
use lentilshift_wire::{
    AnswerHead, CallHead, FleetSecret, LinkBody, LinkSettings, PeerHandler, PeerServer,
};
use model::VmName;
use rstest::rstest;

/// The most bytes that a node may accept on an unauthenticated connection.
const MAX_ACCEPTED_BYTES: usize = 64 * 1024;
/// The bytes that the test tries to send on such a connection.
const ATTEMPTED_BYTES: usize = 8 * 1024 * 1024;
/// The time in which the node closes a connection that violates the limits.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

struct UnreachableHandler;

impl PeerHandler for UnreachableHandler {
    type Body = Empty<Bytes>;

    async fn call(&self, _: &VmName, _: CallHead, _: LinkBody) -> (AnswerHead, Empty<Bytes>) {
        unreachable!("an unauthenticated connection can't run a call")
    }

    async fn exchange(&self, _: &VmName, _: Bytes) -> Bytes {
        unreachable!("an unauthenticated connection can't send a control message")
    }
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = LinkSettings {
        authentication_timeout_ms: 3_600_000,
        ..LinkSettings::default()
    };
    let secret = FleetSecret::new("a secret for tests only").unwrap();
    let server = PeerServer::new(Rc::new(UnreachableHandler), secret, settings);
    spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let _ = server.serve(stream).await;
    })
    .detach();
    address
}

/// Connects without authenticating; the returned task ends with the connection.
async fn connect() -> (SendRequest<Bytes>, JoinHandle<()>) {
    let stream = TcpStream::connect(serve().await).await.unwrap();
    let stream = TokioIo::new(HyperStream::new_plain(stream));
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let ending = spawn(async move {
        let _ = connection.await;
    });
    (sender, ending)
}

async fn open(sender: &mut SendRequest<Bytes>, path: &str) -> Option<SendStream<Bytes>> {
    let mut ready = sender.clone().ready().await.ok()?;
    let request = Request::post(format!("http://node{path}"))
        .body(())
        .unwrap();
    Some(ready.send_request(request, false).ok()?.1)
}

/// Sends as many bytes as the node accepts, and returns their number.
async fn fill(stream: &mut SendStream<Bytes>) -> usize {
    let mut sent = 0;
    while sent < ATTEMPTED_BYTES {
        stream.reserve_capacity(ATTEMPTED_BYTES - sent);
        let capacity = poll_fn(|context| stream.poll_capacity(context));
        let Ok(Some(Ok(capacity))) = timeout(CLOSE_TIMEOUT, capacity).await else {
            return sent;
        };
        if stream
            .send_data(vec![b'x'; capacity].into(), false)
            .is_err()
        {
            return sent;
        }
        sent += capacity;
    }
    sent
}

#[rstest]
#[case::hello("/hello")]
#[case::proof("/prove")]
#[case::call("/call")]
#[compio::test]
async fn message_before_authentication_is_limited(#[case] path: &str) {
    let (mut sender, _ending) = connect().await;
    let mut stream = open(&mut sender, path).await.unwrap();
    let sent = fill(&mut stream).await;
    assert!(sent <= MAX_ACCEPTED_BYTES, "{sent} bytes");
}

#[rstest]
#[compio::test]
async fn second_stream_before_authentication_closes_the_connection() {
    let (mut sender, ending) = connect().await;
    let mut streams = Vec::new();
    for _ in 0..100 {
        streams.extend(open(&mut sender, "/hello").await);
    }
    assert!(timeout(CLOSE_TIMEOUT, ending).await.is_ok());
}
