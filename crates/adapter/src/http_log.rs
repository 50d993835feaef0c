use std::time::Duration;

use compio::time::timeout;
use http::{Method, StatusCode};
use streams::{
    AppendError, AppendReceipt, LogOffset, LogStream, NewRecord, PlatformLog, ReadBatch, ReadError,
};

use crate::{AppendRequest, GoneReply, HttpClient, SendError};

/// The content type of all bodies.
const JSON: &str = "application/json";

/// Limits of the client of the log.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// The timeout of an append, in milliseconds.
    pub append_timeout_ms: u64,
    /// The timeout of a read in addition to its wait for records, in milliseconds.
    pub read_timeout_ms: u64,
    /// The longest body of an answer that is accepted, in bytes.
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

/// A [`PlatformLog`] that is accessed over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    settings: HttpSettings,
}

impl HttpLog {
    /// Creates a client of the log at a base URL such as `http://10.0.0.1:7000`.
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
        let limit = Duration::from_millis(self.settings.append_timeout_ms);
        let sending = self.client.send(Method::POST, &path, JSON, body);
        let answer = timeout(limit, sending).await;
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
        let path = format!("{}?from={from}&wait_ms={wait_ms}", records_path(stream));
        let limit = Duration::from_millis(self.settings.read_timeout_ms.saturating_add(wait_ms));
        let sending = self.client.send(Method::GET, &path, JSON, Vec::new());
        let answer = timeout(limit, sending).await;
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

/// Returns the path of a stream's records.
fn records_path(stream: LogStream) -> String {
    format!("/streams/{stream}/records")
}

/// Checks that the offsets are consecutive, begin at `from` and stay below the end of the stream.
fn check_order(batch: &ReadBatch, from: LogOffset) -> Result<(), String> {
    let mut expected = from;
    for record in &batch.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(format!(
                "the answer holds record {found} where record {expected} was expected"
            ));
        }
        expected = expected.next();
    }
    if !batch.records.is_empty() && expected > batch.end {
        let end = batch.end;
        return Err(format!(
            "the answer holds records after the end of the stream at {end}"
        ));
    }
    Ok(())
}
