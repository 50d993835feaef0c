use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// The number of signals that are read at once.
const READ_BYTES: usize = 64;

/// The signals that a long-running command handles.
pub(crate) struct SignalListener {
    /// The signals to stop.
    pub(crate) stop: SignalSource,
    /// The signals to read the settings again.
    pub(crate) reload: SignalSource,
}

impl SignalListener {
    /// Installs the handlers, and listens on the event loop of this thread.
    ///
    /// The handlers stay installed until the process ends: while one is missing, its signal ends the
    /// process.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if a handler can't be installed.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Self {
            stop: SignalSource::of(&[SIGINT, SIGTERM])?,
            reload: SignalSource::of(&[SIGHUP])?,
        })
    }
}

/// A source of signals of one purpose.
///
/// A signal that arrives while none is waited for is kept; several such signals count as one.
pub(crate) struct SignalSource(UnixStream);

impl SignalSource {
    fn of(signals: &[i32]) -> io::Result<Self> {
        let (reader, writer) = StdStream::pair()?;
        for signal in signals {
            pipe::register(*signal, writer.try_clone()?)?;
        }
        reader.set_nonblocking(true)?;
        UnixStream::from_std(reader).map(Self)
    }

    /// Waits for the next signal.
    pub(crate) async fn wait(&self) {
        let mut stream = &self.0;
        let read = stream.read(Vec::with_capacity(READ_BYTES)).await;
        if let Err(error) = read.0 {
            log::error!("event=signals-unreadable error={:?}", error.to_string());
            std::future::pending::<()>().await;
        }
    }
}
