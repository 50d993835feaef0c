use std::time::Duration;

use compio::time::timeout;
use cyper::{Client, Response};
use http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use platform::{
    AppendError, AppendReceipt, LogOffset, LogStream, NewRecord, PlatformLog, ReadBatch, ReadError,
};
use serde::de::DeserializeOwned;

use crate::{AppendRequest, GoneReply};

/// How the log is reached.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// The time an append may take, in milliseconds.
    pub append_timeout_ms: u64,
    /// The time a read may take besides its wait, in milliseconds.
    pub read_timeout_ms: u64,
    /// The longest answer taken, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            append_timeout_ms: 4_500,
            read_timeout_ms: 4_500,
            max_answer_bytes: 32 << 20,
        }
    }
}

/// A log that is reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: Client,
    base: String,
    settings: HttpSettings,
}

impl HttpLog {
    /// Creates a client of the log at an address such as `http://10.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Returns the library's error when no client can be made.
    pub fn new(base: impl Into<String>, settings: HttpSettings) -> Result<Self, cyper::Error> {
        let client = Client::builder().no_proxy().build()?;
        let base = base.into().trim_end_matches('/').to_owned();
        Ok(Self {
            client,
            base,
            settings,
        })
    }

    fn records_url(&self, stream: LogStream) -> String {
        format!("{}/streams/{stream}/records", self.base)
    }

    async fn send(&self, method: Method, url: &str, body: String) -> Result<RawAnswer, SendError> {
        let request = self
            .client
            .request(method, url)
            .map_err(SendError::before)?;
        let json = HeaderValue::from_static("application/json");
        let request = request
            .header(CONTENT_TYPE, json)
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
            if body.len() > self.settings.max_answer_bytes {
                let limit = self.settings.max_answer_bytes;
                return Err(SendError::Malformed(format!(
                    "the answer has more than {limit} bytes"
                )));
            }
        }
        Ok(body)
    }
}

impl PlatformLog for HttpLog {
    async fn append(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> Result<AppendReceipt, AppendError> {
        let body = serde_json::to_string(&AppendRequest { records })
            .map_err(|error| AppendError::NotWritten(error.to_string()))?;
        let url = self.records_url(stream);
        let limit = Duration::from_millis(self.settings.append_timeout_ms);
        let answer = timeout(limit, self.send(Method::POST, &url, body)).await;
        let answer = answer.map_err(|_| AppendError::OutcomeUnknown("no answer in time".into()))?;
        let answer = answer.map_err(SendError::into_append)?;
        if answer.status.is_client_error() && answer.status != StatusCode::REQUEST_TIMEOUT {
            return Err(AppendError::NotWritten(answer.status.to_string()));
        }
        if !answer.status.is_success() {
            return Err(AppendError::OutcomeUnknown(answer.status.to_string()));
        }
        answer.parse().map_err(AppendError::OutcomeUnknown)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<ReadBatch, ReadError> {
        let url = format!("{}?from={from}&wait_ms={wait_ms}", self.records_url(stream));
        let limit = Duration::from_millis(self.settings.read_timeout_ms.saturating_add(wait_ms));
        let answer = timeout(limit, self.send(Method::GET, &url, String::new())).await;
        let answer = answer.map_err(|_| ReadError::Unavailable("no answer in time".into()))?;
        let answer = answer.map_err(SendError::into_read)?;
        if answer.status == StatusCode::GONE {
            let gone: GoneReply = answer.parse().map_err(ReadError::Malformed)?;
            return Err(ReadError::Gone { first: gone.first });
        }
        if !answer.status.is_success() {
            return Err(ReadError::Unavailable(answer.status.to_string()));
        }
        let batch: ReadBatch = answer.parse().map_err(ReadError::Malformed)?;
        check_order(&batch, from).map_err(ReadError::Malformed)?;
        Ok(batch)
    }
}

fn check_order(batch: &ReadBatch, from: LogOffset) -> Result<(), String> {
    let mut expected = from;
    for record in &batch.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(format!("record {found} came in place of record {expected}"));
        }
        expected = expected.next();
    }
    if !batch.records.is_empty() && expected > batch.end {
        let end = batch.end;
        return Err(format!("records go on after the stream's end at {end}"));
    }
    Ok(())
}

/// An answer before its body is understood.
struct RawAnswer {
    status: StatusCode,
    body: Vec<u8>,
}

impl RawAnswer {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}

/// Why a request has no answer.
enum SendError {
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

    fn into_append(self) -> AppendError {
        match self {
            Self::Before(error) => AppendError::NotWritten(error),
            Self::After(error) | Self::Malformed(error) => AppendError::OutcomeUnknown(error),
        }
    }

    fn into_read(self) -> ReadError {
        match self {
            Self::Before(error) | Self::After(error) => ReadError::Unavailable(error),
            Self::Malformed(error) => ReadError::Malformed(error),
        }
    }
}
