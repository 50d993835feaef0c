use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};

use crate::load_error::LoadError;

/// The answer to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadAnswer {
    pub(crate) status: u16,
    pub(crate) body_bytes: u64,
    pub(crate) elapsed: Duration,
}

/// An open HTTP/1.1 connection of a caller.
pub(crate) struct LoadConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl LoadConnection {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, LoadError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(HyperStream::new_plain(stream)).await?;
        compio::runtime::spawn(connection).detach();
        Ok(Self { sender, address })
    }

    /// Sends a GET request and reads its whole answer.
    pub(crate) async fn get(&mut self, path: &str, key: &str) -> Result<LoadAnswer, LoadError> {
        self.send("GET", path, key, Bytes::new()).await
    }

    /// Sends a request and reads its whole answer.
    pub(crate) async fn send(
        &mut self,
        method: &str,
        path: &str,
        key: &str,
        body: Bytes,
    ) -> Result<LoadAnswer, LoadError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::new(body))?;
        let started = Instant::now();
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut body_bytes = 0;
        while let Some(frame) = body.frame().await {
            body_bytes += frame?.data_ref().map_or(0, Bytes::len) as u64;
        }
        Ok(LoadAnswer {
            status,
            body_bytes,
            elapsed: started.elapsed(),
        })
    }
}
