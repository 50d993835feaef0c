use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};

/// An HTTP/1.1 connection that stays open between requests.
pub struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
}

/// The answer to a request.
pub struct CallerAnswer {
    pub status: u16,
    pub verdict: Option<String>,
    pub body: String,
}

impl OpenConnection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let opened = handshake(HyperStream::new_plain(stream)).await;
        let (sender, connection) = opened.unwrap();
        compio::runtime::spawn(async move { drop(connection.await) }).detach();
        Self { sender }
    }

    /// Sends a GET, and fails when the connection is closed.
    pub async fn get(&mut self, path: &str, key: &str) -> Result<CallerAnswer, hyper::Error> {
        self.sender.ready().await?;
        let request = Request::get(path).header("host", "node");
        let request = request.header("x-api-key", key);
        let request = request.body(Full::default()).unwrap();
        let response = self.sender.send_request(request).await?;
        let verdict = response.headers().get("lentilshift-verdict");
        let verdict = verdict.map(|value| value.to_str().unwrap().to_owned());
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(CallerAnswer {
            status,
            verdict,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
