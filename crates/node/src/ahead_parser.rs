use http::header::{HeaderName, HeaderValue};
use http::{Method, Request, Uri, Version};

/// The maximum number of headers of a request, as in `hyper`.
const MAX_HEADERS: usize = 100;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this number of bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunks,
    /// Only the HTTP implementation knows the end: the connection may change its protocol, or the
    /// length is invalid.
    Unknown,
}

/// The head of a request at the start of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadFrame {
    /// The number of bytes of the head.
    pub bytes: usize,
    /// How the end of the body is found.
    pub framing: BodyFraming,
    /// Whether the answer closes the connection.
    pub is_last: bool,
    /// Whether it is an HTTP/1.1 request without a body or an expectation.
    pub is_plain: bool,
}

/// What some bytes of a connection begin with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadParse {
    /// A part of a head.
    Partial,
    /// Bytes that aren't the head of an HTTP/1 request.
    Invalid,
    /// A complete head.
    Complete(HeadFrame),
}

/// Parses the head of a request as far as the boundaries of the request need it.
#[must_use]
pub fn parse_head(bytes: &[u8]) -> HeadParse {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => HeadParse::Partial,
        Err(_) => HeadParse::Invalid,
        Ok(httparse::Status::Complete(bytes)) => HeadParse::Complete(frame_of(&request, bytes)),
    }
}

/// Returns whether bytes after `scanned_bytes` could end a head.
#[must_use]
pub fn has_head_end(bytes: &[u8], scanned_bytes: usize) -> bool {
    let new = &bytes[scanned_bytes.saturating_sub(2).min(bytes.len())..];
    let ends_line = |rest: &[u8]| rest.starts_with(b"\n\r\n") || rest.starts_with(b"\n\n");
    (0..new.len()).any(|at| new[at] == b'\n' && ends_line(&new[at..]))
}

/// Returns the request whose head is `bytes`, or `None` if it isn't a complete valid head.
#[must_use]
pub fn read_request(bytes: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if !parsed.parse(bytes).ok()?.is_complete() {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *request.version_mut() = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().try_append(name, value).ok()?;
    }
    Some(request)
}

fn frame_of(request: &httparse::Request<'_, '_>, bytes: usize) -> HeadFrame {
    let mut length = None;
    let mut frame = HeadFrame {
        bytes,
        framing: BodyFraming::Length(0),
        is_last: false,
        is_plain: request.version == Some(1),
    };
    let mut is_unknown = request.method == Some("CONNECT");
    let mut is_chunked = false;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let stated = parse_length(header.value);
            is_unknown |= stated.is_none() || length.is_some_and(|length| Some(length) != stated);
            length = stated;
        } else if is("connection") {
            frame.is_last |= has_token(header.value, b"close");
            is_unknown |= has_token(header.value, b"upgrade");
        } else if is("transfer-encoding") {
            let is_known = header.value.eq_ignore_ascii_case(b"chunked");
            is_unknown |= is_chunked || !is_known || request.version != Some(1);
            is_chunked = true;
        } else if is("upgrade") {
            is_unknown = true;
        } else if is("expect") {
            frame.is_plain = false;
        }
    }
    frame.framing = match length {
        Some(_) if is_chunked => BodyFraming::Unknown,
        _ if is_unknown => BodyFraming::Unknown,
        None if is_chunked => BodyFraming::Chunks,
        length => BodyFraming::Length(length.unwrap_or(0)),
    };
    frame.is_plain &= frame.framing == BodyFraming::Length(0);
    frame
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}

fn has_token(value: &[u8], token: &[u8]) -> bool {
    let mut tokens = value.split(|byte| *byte == b',');
    tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}
