use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use http::header::{HOST, HeaderValue};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};

use crate::demo::DemoError;

/// The header of an answer that says whether the request may have run.
const VERDICT: &str = "lentilshift-verdict";

/// One open HTTP/1.1 connection to a node.
pub(crate) struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: Bytes,
}

impl CallerAnswer {
    /// Returns whether the request was served.
    pub(crate) const fn is_served(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns the reason of a refusal.
    pub(crate) fn reason(&self) -> String {
        let problem = serde_json::from_slice::<serde_json::Value>(&self.body);
        let problem = problem.unwrap_or_default();
        let reason = problem["title"].as_str();
        reason.map_or_else(|| format!("status {}", self.status), str::to_owned)
    }
}

impl CallerConnection {
    /// Connects to a port of a node.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, DemoError> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = handshake(HyperStream::new_plain(stream)).await?;
        compio::runtime::spawn(async move {
            // The sender's next request fails when the connection has ended.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender, address })
    }

    /// Sends a request and waits for the whole answer.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<CallerAnswer, DemoError> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let verdict = response.headers().get(VERDICT);
        let verdict = verdict.and_then(|value| value.to_str().ok());
        let verdict = verdict.unwrap_or_default().to_owned();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(CallerAnswer {
            status,
            verdict,
            body,
        })
    }
}
