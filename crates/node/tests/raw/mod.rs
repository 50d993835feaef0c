//! Raw bytes over TCP, without an HTTP client.

use std::net::SocketAddr;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

/// Connects and sends `text` as it is.
pub async fn send_raw(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.to_owned()).await.0.unwrap();
    stream
}

/// Reads until the peer closes or resets the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    loop {
        let BufResult(read, bytes) = stream.read(vec![0; 64 * 1024]).await;
        match read {
            Ok(0) | Err(_) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(count) => text.extend_from_slice(&bytes[..count]),
        }
    }
}
