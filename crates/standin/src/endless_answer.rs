use std::io;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

/// The bytes that are written at once, as often as the caller takes them.
const PIECE_BYTES: usize = 64 * 1024;
/// The most bytes that are written on one connection.
const MAX_BYTES: u64 = 4 << 30;
const READ_BYTES: usize = 16 * 1024;

/// The part of an answer that a faulty instance writes without end, until the caller closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The status line.
    StatusLine,
    /// One header field.
    HeaderField,
    /// Header fields.
    HeaderFields,
    /// Interim answers.
    InterimAnswers,
    /// A body without length.
    Body,
    /// The chunks of a body.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after a chunked body.
    Trailers,
    /// Bytes after a complete answer.
    Excess,
}

impl EndlessPart {
    /// Returns what is written before the endless part, to the request with an id.
    fn start(self, id: &str) -> String {
        let head =
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: endless\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::HeaderField => format!("{head}X-Filler: "),
            Self::HeaderFields => head,
            Self::InterimAnswers => String::new(),
            Self::Body => format!("{head}\r\n"),
            Self::Chunks => format!("{head}{chunked}"),
            Self::ChunkExtension => format!("{head}{chunked}4;"),
            Self::Trailers => format!("{head}{chunked}2\r\nok\r\n0\r\n"),
            Self::Excess => format!("{head}Content-Length: 2\r\n\r\nok"),
        }
    }

    /// Returns what is repeated without end.
    const fn unit(self) -> &'static str {
        match self {
            Self::StatusLine
            | Self::HeaderField
            | Self::Body
            | Self::ChunkExtension
            | Self::Excess => "x",
            Self::HeaderFields | Self::Trailers => "X-Filler: y\r\n",
            Self::InterimAnswers => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::Chunks => "8\r\nendless.\r\n",
        }
    }
}

/// Answers each request on a connection with an endless part.
///
/// # Errors
///
/// Returns the error of the connection, usually because the caller has closed it.
pub(crate) async fn serve_endless(stream: &mut TcpStream, part: EndlessPart) -> io::Result<()> {
    let Some(id) = read_request(stream).await? else {
        return Ok(());
    };
    stream.write_all(part.start(&id)).await.0?;
    let unit = part.unit();
    let mut piece = unit.repeat(PIECE_BYTES / unit.len()).into_bytes();
    let mut written = 0;
    while written < MAX_BYTES {
        let BufResult(result, bytes) = stream.write_all(piece).await;
        result?;
        written += bytes.len() as u64;
        piece = bytes;
    }
    Ok(())
}

/// Reads the head of a request and returns its id; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let BufResult(count, bytes) = stream.read(vec![0; READ_BYTES]).await;
        match count? {
            0 => return Ok(None),
            count => head.extend_from_slice(&bytes[..count]),
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id:"));
    Ok(Some(id.unwrap_or_default().trim().to_owned()))
}
