use std::fmt;
use std::rc::Rc;

use futures_util::future::{FutureExt, LocalBoxFuture};

use crate::{
    AppendError, AppendReceipt, LogOffset, LogStream, NewRecord, PlatformLog, ReadBatch, ReadError,
};

/// A type-erased client of the platform's log.
///
/// Boxing the futures is cheap enough here: of all requests, only once calls wait for the log.
#[derive(Clone)]
pub struct LogHandle(Rc<dyn BoxedLog>);

impl LogHandle {
    /// Wraps a client.
    pub fn new(log: impl PlatformLog + 'static) -> Self {
        Self(Rc::new(log))
    }
}

impl fmt::Debug for LogHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("LogHandle")
    }
}

impl PlatformLog for LogHandle {
    async fn append(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> Result<AppendReceipt, AppendError> {
        self.0.append_boxed(stream, records).await
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> Result<ReadBatch, ReadError> {
        self.0.read_boxed(stream, from, wait_ms).await
    }
}

/// [`PlatformLog`] with boxed futures, so that it is dyn-compatible.
trait BoxedLog {
    fn append_boxed(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> LocalBoxFuture<'_, Result<AppendReceipt, AppendError>>;

    fn read_boxed(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, ReadError>>;
}

impl<L: PlatformLog> BoxedLog for L {
    fn append_boxed(
        &self,
        stream: LogStream,
        records: Vec<NewRecord>,
    ) -> LocalBoxFuture<'_, Result<AppendReceipt, AppendError>> {
        self.append(stream, records).boxed_local()
    }

    fn read_boxed(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, ReadError>> {
        self.read(stream, from, wait_ms).boxed_local()
    }
}
