use cyper::{Client, Response};
use http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use serde::de::DeserializeOwned;
use streams::{AppendError, ReadError};

/// A client of one HTTP server that tells what was surely not sent from what may have arrived.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client,
    base: String,
    max_answer_bytes: usize,
}

impl HttpClient {
    /// Creates a client of the server at an address such as `http://10.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Returns the library's error when no client can be made.
    pub fn new(base: impl Into<String>, max_answer_bytes: usize) -> Result<Self, cyper::Error> {
        let client = Client::builder().no_proxy().build()?;
        let base = base.into().trim_end_matches('/').to_owned();
        Ok(Self {
            client,
            base,
            max_answer_bytes,
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no whole answer came.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        kind: &'static str,
        body: Vec<u8>,
    ) -> Result<RawAnswer, SendError> {
        let url = format!("{}{path}", self.base);
        let request = self
            .client
            .request(method, &url)
            .map_err(SendError::before)?;
        let kind = HeaderValue::from_static(kind);
        let request = request
            .header(CONTENT_TYPE, kind)
            .map_err(SendError::before)?;
        let response = request.body(body).send().await.map_err(SendError::new)?;
        let status = response.status();
        let body = self.read_body(response).await?;
        Ok(RawAnswer { status, body })
    }

    async fn read_body(&self, mut response: Response) -> Result<Vec<u8>, SendError> {
        use futures_util::StreamExt as _;
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            body.extend_from_slice(&chunk.map_err(SendError::after)?);
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

/// An answer before its body is understood.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Vec<u8>,
}

impl RawAnswer {
    /// Decodes a body of JSON.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    Before(String),
    /// The request may have arrived.
    After(String),
    /// The answer can't be taken.
    Malformed(String),
}

impl SendError {
    fn new(error: cyper::Error) -> Self {
        match error {
            cyper::Error::HyperClient(error) if error.is_connect() => Self::before(error),
            error => Self::after(error),
        }
    }

    fn before(error: impl std::fmt::Display) -> Self {
        Self::Before(error.to_string())
    }

    fn after(error: impl std::fmt::Display) -> Self {
        Self::After(error.to_string())
    }

    /// Returns what this means for an append.
    #[must_use]
    pub fn into_append(self) -> AppendError {
        match self {
            Self::Before(error) => AppendError::NotWritten(error),
            Self::After(error) | Self::Malformed(error) => AppendError::OutcomeUnknown(error),
        }
    }

    /// Returns what this means for a read.
    #[must_use]
    pub fn into_read(self) -> ReadError {
        match self {
            Self::Before(error) | Self::After(error) => ReadError::Unavailable(error),
            Self::Malformed(error) => ReadError::Malformed(error),
        }
    }
}
