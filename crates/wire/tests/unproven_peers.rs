//! What a connection may take of a node before it has proved the fleet's secret.

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

/// The most bytes that a connection without proof may leave at a node.
const MOST_UNPROVEN_BYTES: usize = 64 * 1024;
/// The bytes that such a connection tries to leave.
const TRIED_BYTES: usize = 8 * 1024 * 1024;
/// The time in which the node ends a connection that asks for too much.
const ENDS_WITHIN: Duration = Duration::from_secs(2);

struct NoCalls;

impl PeerHandler for NoCalls {
    type Body = Empty<Bytes>;

    async fn call(&self, _: &VmName, _: CallHead, _: LinkBody) -> (AnswerHead, Empty<Bytes>) {
        unreachable!("no call of a connection without proof runs")
    }

    async fn exchange(&self, _: &VmName, _: Bytes) -> Bytes {
        unreachable!("no message of a connection without proof is read")
    }
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = LinkSettings {
        prove_timeout_ms: 3_600_000,
        ..LinkSettings::default()
    };
    let secret = FleetSecret::new("a secret for tests only").unwrap();
    let server = PeerServer::new(Rc::new(NoCalls), secret, settings);
    spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let _ = server.serve(stream).await;
    })
    .detach();
    address
}

/// Connects without any proof; the handle ends with the connection.
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

/// Sends as much as the node takes, and returns how much that was.
async fn fill(stream: &mut SendStream<Bytes>) -> usize {
    let mut sent = 0;
    while sent < TRIED_BYTES {
        stream.reserve_capacity(TRIED_BYTES - sent);
        let capacity = poll_fn(|context| stream.poll_capacity(context));
        let Ok(Some(Ok(capacity))) = timeout(ENDS_WITHIN, capacity).await else {
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
async fn a_message_before_the_proof_is_small(#[case] path: &str) {
    let (mut sender, _ending) = connect().await;
    let mut stream = open(&mut sender, path).await.unwrap();
    let sent = fill(&mut stream).await;
    assert!(sent <= MOST_UNPROVEN_BYTES, "{sent} bytes");
}

#[rstest]
#[compio::test]
async fn a_second_stream_before_the_proof_ends_the_connection() {
    let (mut sender, ending) = connect().await;
    let mut streams = Vec::new();
    for _ in 0..100 {
        streams.extend(open(&mut sender, "/hello").await);
    }
    assert!(timeout(ENDS_WITHIN, ending).await.is_ok());
}
