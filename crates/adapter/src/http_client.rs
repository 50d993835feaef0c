use cyper::{Client, Response};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use serde::de::DeserializeOwned;
use streams::{AppendError, ReadError};

/// A client of one HTTP server whose errors distinguish requests that were certainly not sent from
/// requests that may have arrived.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client,
    base: String,
    max_answer_bytes: usize,
}

impl HttpClient {
    /// Creates a client of the server at a base URL such as `http://10.0.0.1:7000`; `max_answer_bytes`
    /// is the longest body of an answer that it accepts.
    ///
    /// # Errors
    ///
    /// Returns the error of `cyper` when the client can't be created.
    pub fn new(base: impl Into<String>, max_answer_bytes: usize) -> Result<Self, cyper::Error> {
        let client = Client::builder().no_proxy().build()?;
        let base = base.into().trim_end_matches('/').to_owned();
        Ok(Self {
            client,
            base,
            max_answer_bytes,
        })
    }

    /// Sends a request with a body of the given content type, and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete answer is received.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        content_type: &'static str,
        body: Vec<u8>,
    ) -> Result<RawAnswer, SendError> {
        let url = format!("{}{path}", self.base);
        let request = self
            .client
            .request(method, &url)
            .map_err(SendError::not_sent)?;
        let content_type = HeaderValue::from_static(content_type);
        let request = request
            .header(CONTENT_TYPE, content_type)
            .map_err(SendError::not_sent)?;
        let response = request.body(body).send().await.map_err(SendError::new)?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = self.read_body(response).await?;
        Ok(RawAnswer {
            status,
            headers,
            body,
        })
    }

    async fn read_body(&self, mut response: Response) -> Result<Vec<u8>, SendError> {
        use futures_util::StreamExt as _;
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            body.extend_from_slice(&chunk.map_err(SendError::unknown)?);
            if body.len() > self.max_answer_bytes {
                let limit = self.max_answer_bytes;
                return Err(SendError::Malformed(format!(
                    "the answer has more than {limit} bytes"
                )));
            }
        }
        Ok(body)
    }
}

/// An answer whose body hasn't been decoded yet.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Decodes the body from JSON.
    ///
    /// # Errors
    ///
    /// Returns the decoding error as text.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}

/// Why a request has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have arrived, and may have taken effect.
    Unknown(String),
    /// The answer is invalid or larger than allowed.
    Malformed(String),
}

impl SendError {
    fn new(error: cyper::Error) -> Self {
        match error {
            cyper::Error::HyperClient(error) if error.is_connect() => Self::not_sent(error),
            error => Self::unknown(error),
        }
    }

    fn not_sent(error: impl std::fmt::Display) -> Self {
        Self::NotSent(error.to_string())
    }

    fn unknown(error: impl std::fmt::Display) -> Self {
        Self::Unknown(error.to_string())
    }

    /// Converts the error into that of an append.
    #[must_use]
    pub fn into_append(self) -> AppendError {
        match self {
            Self::NotSent(error) => AppendError::NotWritten(error),
            Self::Unknown(error) | Self::Malformed(error) => AppendError::OutcomeUnknown(error),
        }
    }

    /// Converts the error into that of a read.
    #[must_use]
    pub fn into_read(self) -> ReadError {
        match self {
            Self::NotSent(error) | Self::Unknown(error) => ReadError::Unavailable(error),
            Self::Malformed(error) => ReadError::Malformed(error),
        }
    }
}
