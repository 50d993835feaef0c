use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::client_budget::ClientConnection;

/// How often a connection that isn't read is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Notices that a client has closed its connection although the node isn't reading from it.
///
/// A read returns the end of a connection only after all bytes before it. The node doesn't read them
/// while it holds as much of the client's bytes as it may, or while the reader of a body is slower
/// than its client. The system knows of the end all the same.
pub(crate) struct CloseWatch {
    stream: TcpStream,
    client: Rc<ClientConnection>,
    pause: Option<JoinHandle<()>>,
}

impl CloseWatch {
    pub(crate) const fn new(stream: TcpStream, client: Rc<ClientConnection>) -> Self {
        Self {
            stream,
            client,
            pause: None,
        }
    }

    /// Returns ready once the client has closed the connection while its requests are at work and
    /// nothing is read from it.
    ///
    /// It is to be polled after the connection, which records whether it waits for a read.
    pub(crate) fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.client.has_requests() && !self.client.awaits_read() {
            let pause = self
                .pause
                .get_or_insert_with(|| spawn(sleep(CHECK_INTERVAL)));
            if Pin::new(pause).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
            if self.is_closed() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Asks the system whether the client has closed or reset the connection.
    fn is_closed(&self) -> bool {
        let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        match poll(&mut polled, Some(&Timespec::default())) {
            Ok(_) => polled[0].revents().intersects(end),
            Err(error) => {
                let error = io::Error::from(error);
                log::debug!("event=poll-failed error={:?}", error.to_string());
                false
            }
        }
    }
}
