use clock::ClockTime;

use crate::client_limits::{ClientLimits, ClientPort};
use crate::wait_meter::WaitMeter;

/// What a client keeps the node waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientWait {
    /// For its next request, after an answered one.
    NextRequest,
    /// For its first request.
    FirstRequest,
    /// For the rest of a head.
    Head,
    /// For the rest of a body.
    Body,
    /// For reading an answer.
    Answer,
}

/// A connection of a client.
#[derive(Clone, Debug)]
pub(crate) struct ClientEntry {
    pub(crate) port: ClientPort,
    /// The bytes of bodies that are held for the connection.
    pub(crate) body_bytes: u64,
    /// The requests that aren't answered completely.
    requests: u32,
    /// The requests among them whose bodies aren't complete.
    open_bodies: u32,
    /// Whether a part of a head has arrived.
    has_partial_head: bool,
    /// The bytes that an HTTP/2 connection counts as in addition, and 0 for HTTP/1.1.
    window_bytes: u64,
    is_answered: bool,
    reads: WaitMeter,
    writes: WaitMeter,
}

impl ClientEntry {
    pub(crate) fn new(port: ClientPort, now: ClockTime) -> Self {
        let mut reads = WaitMeter::default();
        reads.start_wait(now);
        Self {
            port,
            body_bytes: 0,
            requests: 0,
            open_bodies: 0,
            has_partial_head: false,
            window_bytes: 0,
            is_answered: false,
            reads,
            writes: WaitMeter::default(),
        }
    }

    /// Returns the bytes that the connection counts as.
    pub(crate) fn held_bytes(&self, limits: &ClientLimits) -> u64 {
        let requests = u64::from(self.requests.max(u32::from(self.has_partial_head)));
        limits.connection_bytes
            + self.window_bytes
            + requests * limits.request_bytes
            + self.body_bytes
    }

    pub(crate) fn use_http2(&mut self, window_bytes: u64) {
        self.window_bytes = window_bytes;
        self.has_partial_head = false;
    }

    pub(crate) fn await_read(&mut self, now: ClockTime) {
        self.reads.start_wait(now);
    }

    pub(crate) fn receive(&mut self, now: ClockTime, bytes: u64, enough_bytes: u64) {
        if self.requests == 0 && self.window_bytes == 0 && !self.has_partial_head {
            self.has_partial_head = true;
            self.reads = WaitMeter::default();
        }
        // A head has to arrive in time however its bytes are spread.
        let enough_bytes = if self.has_partial_head {
            u64::MAX
        } else {
            enough_bytes
        };
        self.reads.end_wait(now, bytes, enough_bytes);
    }

    pub(crate) fn await_write(&mut self, now: ClockTime) {
        self.writes.start_wait(now);
    }

    pub(crate) fn send(&mut self, now: ClockTime, bytes: u64, enough_bytes: u64) {
        self.writes.end_wait(now, bytes, enough_bytes);
    }

    pub(crate) fn start_request(&mut self, now: ClockTime, has_body: bool) {
        self.has_partial_head = false;
        self.requests += 1;
        self.open_bodies += u32::from(has_body);
        self.reads.restart(now);
    }

    pub(crate) fn end_body(&mut self, now: ClockTime) {
        self.open_bodies = self.open_bodies.saturating_sub(1);
        self.reads.restart(now);
    }

    pub(crate) fn end_request(&mut self, now: ClockTime, had_open_body: bool) {
        self.requests = self.requests.saturating_sub(1);
        if had_open_body {
            self.open_bodies = self.open_bodies.saturating_sub(1);
        }
        self.is_answered = true;
        self.reads.restart(now);
    }

    /// Returns what the client keeps the node waiting for, and for how long, in milliseconds.
    /// Returns `None` while the node is at work on a request.
    pub(crate) fn wait(&self, now: ClockTime) -> Option<(ClientWait, u64)> {
        if self.writes.is_waiting() {
            return Some((ClientWait::Answer, self.writes.waited_ms(now)));
        }
        let wait = match (self.requests, self.open_bodies) {
            (0, _) if self.has_partial_head => ClientWait::Head,
            (0, _) if self.is_answered => ClientWait::NextRequest,
            (0, _) => ClientWait::FirstRequest,
            (requests, open) if open >= requests => ClientWait::Body,
            _ => return None,
        };
        self.reads
            .is_waiting()
            .then(|| (wait, self.reads.waited_ms(now)))
    }
}
