use std::time::Duration;

use compio::time::timeout;
use http::{Method, StatusCode};
use streams::{
    AppendError, AppendReceipt, LogOffset, LogStream, NewRecord, PlatformLog, ReadBatch, ReadError,
};

use crate::{AppendRequest, GoneReply, HttpClient, SendError};

/// The content type of requests.
const JSON: &str = "application/json";

/// The timeouts and the size limit of an [`HttpLog`].
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// The timeout of an append, in milliseconds.
    pub append_timeout_ms: u64,
    /// The timeout of a read, in milliseconds; the time that the log may wait for records is added.
    pub read_timeout_ms: u64,
    /// The maximum accepted length of a response body, in bytes.
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

/// The client of a [`PlatformLog`] that is served over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    settings: HttpSettings,
}

impl HttpLog {
    /// Creates a client of the log server at a base URL such as `http://10.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Returns the error of `cyper` when the client can't be created.
    pub fn new(base: impl Into<String>, settings: HttpSettings) -> Result<Self, cyper::Error> {
        let client = HttpClient::new(base, settings.max_answer_bytes)?;
        Ok(Self { client, settings })
    }
}

impl PlatformLog for HttpLog {
    async fn append(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> Result<AppendReceipt, AppendError> {
        let body = serde_json::to_vec(&AppendRequest { records })
            .map_err(|error| AppendError::NotWritten(error.to_string()))?;
        let path = records_path(stream);
        let time_limit = Duration::from_millis(self.settings.append_timeout_ms);
        let exchange = self.client.send(Method::POST, &path, JSON, body);
        let answer = timeout(time_limit, exchange).await;
        let answer = answer.map_err(|_| AppendError::OutcomeUnknown("no answer in time".into()))?;
        let answer = answer.map_err(SendError::into_append)?;
        // A client error shows that the log rejected the append; a request timeout (408) doesn't.
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
        let path = format!("{}?from={from}&wait_ms={wait_ms}", records_path(stream));
        let time_limit =
            Duration::from_millis(self.settings.read_timeout_ms.saturating_add(wait_ms));
        let exchange = self.client.send(Method::GET, &path, JSON, Vec::new());
        let answer = timeout(time_limit, exchange).await;
        let answer = answer.map_err(|_| ReadError::Unavailable("no answer in time".into()))?;
        let answer = answer.map_err(SendError::into_read)?;
        if answer.status == StatusCode::GONE {
            let reply: GoneReply = answer.parse().map_err(ReadError::Malformed)?;
            return Err(ReadError::Gone {
                first: reply.first,
                era: reply.era,
            });
        }
        if !answer.status.is_success() {
            return Err(ReadError::Unavailable(answer.status.to_string()));
        }
        let batch: ReadBatch = answer.parse().map_err(ReadError::Malformed)?;
        check_offsets(&batch, from).map_err(ReadError::Malformed)?;
        Ok(batch)
    }
}

/// Returns the path of a stream's records.
fn records_path(stream: LogStream) -> String {
    format!("/streams/{stream}/records")
}

/// Checks that the offsets of the records are consecutive, begin at `from` and are below `batch.end`.
///
/// An empty batch passes even if its end is below `from`: the reader of the stream handles that case,
/// since it means that the log was truncated or replaced.
fn check_offsets(batch: &ReadBatch, from: LogOffset) -> Result<(), String> {
    let mut expected = from;
    for record in &batch.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(format!(
                "the response has the record at offset {found} where offset {expected} was expected"
            ));
        }
        expected = expected.next();
    }
    if !batch.records.is_empty() && expected > batch.end {
        let end = batch.end;
        return Err(format!(
            "the response has records at or after the end of the stream, offset {end}"
        ));
    }
    Ok(())
}
