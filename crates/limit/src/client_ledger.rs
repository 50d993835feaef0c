use std::collections::BTreeMap;

use clock::ClockTime;

use crate::client_entry::{ClientEntry, ClientWait};
use crate::client_limits::{ClientLimits, ClientPort};

/// Identifies an open connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(u64);

/// Why a connection of a client is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The port has as many connections as it may have, and no client keeps the node waiting.
    Refused,
    /// The client sends no request while memory or connections are short.
    Idle,
    /// The client is slow to send a head.
    SlowHead,
    /// The client is slow to send a body.
    SlowSender,
    /// The client is slow to read an answer.
    SlowReader,
}

impl CloseReason {
    /// All reasons: the values of the metric label.
    pub const ALL: [Self; 5] = [
        Self::Refused,
        Self::Idle,
        Self::SlowHead,
        Self::SlowSender,
        Self::SlowReader,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Idle => "idle",
            Self::SlowHead => "slow-head",
            Self::SlowSender => "slow-sender",
            Self::SlowReader => "slow-reader",
        }
    }

    const fn of(wait: ClientWait) -> Self {
        match wait {
            ClientWait::NextRequest | ClientWait::FirstRequest => Self::Idle,
            ClientWait::Head => Self::SlowHead,
            ClientWait::Body => Self::SlowSender,
            ClientWait::Answer => Self::SlowReader,
        }
    }
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientClosure {
    /// The connection.
    pub client: ClientId,
    /// Its port.
    pub port: ClientPort,
    /// Why it is closed.
    pub reason: CloseReason,
    /// The bytes that it counted as.
    pub held_bytes: u64,
}

/// The share of the total above which memory is short, as a fraction.
const SHORT_SHARE: (u64, u64) = (3, 4);

/// Counts the bytes that a node holds for its clients, by connection and in all, and decides which
/// requests it refuses and which connections it closes when they are too many.
///
/// Connections whose clients keep the node waiting go first: those that hold most, then those that
/// never sent a request, then those that have been idle for longest. A connection whose request is
/// at work is never closed.
#[derive(Clone, Debug)]
pub struct ClientLedger {
    limits: ClientLimits,
    entries: BTreeMap<ClientId, ClientEntry>,
    counts: BTreeMap<ClientPort, usize>,
    next: u64,
    held_bytes: u64,
}

impl ClientLedger {
    /// Creates a ledger without connections.
    #[must_use]
    pub const fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            counts: BTreeMap::new(),
            next: 0,
            held_bytes: 0,
        }
    }

    /// Returns the bytes that are held for all clients.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Records a new connection.
    pub fn open(&mut self, now: ClockTime, port: ClientPort) -> ClientId {
        let client = ClientId(self.next);
        self.next += 1;
        let entry = ClientEntry::new(port, now);
        self.held_bytes += entry.held_bytes(&self.limits);
        self.entries.insert(client, entry);
        *self.counts.entry(port).or_default() += 1;
        client
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, client: ClientId) {
        let Some(entry) = self.entries.remove(&client) else {
            return;
        };
        self.held_bytes -= entry.held_bytes(&self.limits);
        if let Some(count) = self.counts.get_mut(&entry.port) {
            *count -= 1;
        }
    }

    /// Records that a connection speaks HTTP/2, with a flow-control window of `window_bytes`.
    pub fn use_http2(&mut self, client: ClientId, window_bytes: u64) {
        self.update(client, |entry| entry.use_http2(window_bytes));
    }

    /// Records that the node waits for bytes of a client.
    pub fn await_read(&mut self, now: ClockTime, client: ClientId) {
        self.update(client, |entry| entry.await_read(now));
    }

    /// Records bytes received from a client.
    pub fn receive(&mut self, now: ClockTime, client: ClientId, bytes: u64) {
        let enough_bytes = self.limits.progress_bytes;
        self.update(client, |entry| entry.receive(now, bytes, enough_bytes));
    }

    /// Records that the node waits for a client to read.
    pub fn await_write(&mut self, now: ClockTime, client: ClientId) {
        self.update(client, |entry| entry.await_write(now));
    }

    /// Records bytes sent to a client.
    pub fn send(&mut self, now: ClockTime, client: ClientId, bytes: u64) {
        let enough_bytes = self.limits.progress_bytes;
        self.update(client, |entry| entry.send(now, bytes, enough_bytes));
    }

    /// Records that the head of a request is complete, and returns whether there is memory for the
    /// request. A request that is refused counts until it is answered, too.
    #[must_use]
    pub fn start_request(&mut self, now: ClockTime, client: ClientId, has_body: bool) -> bool {
        self.update(client, |entry| entry.start_request(now, has_body));
        self.held_bytes <= self.limits.total_bytes + self.limits.reserve_bytes
    }

    /// Records that the body of a request is complete.
    pub fn end_body(&mut self, now: ClockTime, client: ClientId) {
        self.update(client, |entry| entry.end_body(now));
    }

    /// Records that a request is answered; `had_open_body` tells that its body didn't end.
    pub fn end_request(&mut self, now: ClockTime, client: ClientId, had_open_body: bool) {
        self.update(client, |entry| entry.end_request(now, had_open_body));
    }

    /// Counts bytes of a body, for a connection or for the links to other nodes, or returns `false`
    /// when memory is short.
    #[must_use]
    pub fn hold(&mut self, client: Option<ClientId>, bytes: u64) -> bool {
        if self.held_bytes + bytes > self.limits.total_bytes {
            return false;
        }
        match client {
            Some(client) => self.update(client, |entry| entry.body_bytes += bytes),
            None => self.held_bytes += bytes,
        }
        true
    }

    /// Releases bytes of a body.
    pub fn release(&mut self, client: Option<ClientId>, bytes: u64) {
        match client {
            Some(client) => self.update(client, |entry| {
                entry.body_bytes = entry.body_bytes.saturating_sub(bytes);
            }),
            None => self.held_bytes = self.held_bytes.saturating_sub(bytes),
        }
    }

    /// Returns whether memory is so short that connections are closed.
    #[must_use]
    pub const fn is_short(&self) -> bool {
        self.held_bytes > self.limits.total_bytes / SHORT_SHARE.1 * SHORT_SHARE.0
    }

    /// Returns the connection to close next because memory, or connections at a port, are short;
    /// `None` if they aren't or if no connection may be closed.
    #[must_use]
    pub fn next_closure(&self, now: ClockTime, port: ClientPort) -> Option<ClientClosure> {
        let count = self.counts.get(&port).copied().unwrap_or_default();
        let is_full = count > self.limits.connections_at(port);
        if !is_full && !self.is_short() {
            return None;
        }
        let candidates = self.entries.iter().filter_map(|(client, entry)| {
            if is_full && entry.port != port {
                return None;
            }
            let (wait, waited_ms) = entry.wait(now)?;
            if waited_ms < self.limits.short_wait_ms {
                return None;
            }
            let held_bytes = entry.held_bytes(&self.limits);
            let rank = (wait.min(ClientWait::Head), held_bytes, waited_ms);
            Some((rank, self.closure(*client, entry, CloseReason::of(wait))))
        });
        let slowest = candidates.max_by_key(|(rank, _)| *rank);
        if let Some((_, closure)) = slowest {
            return Some(closure);
        }
        let newest = self
            .entries
            .iter()
            .rev()
            .find(|(_, entry)| entry.port == port);
        newest
            .filter(|_| is_full)
            .map(|(client, entry)| self.closure(*client, entry, CloseReason::Refused))
    }

    /// Returns the connections whose clients have kept the node waiting for longer than they may
    /// at any time. A connection without a request isn't among them.
    #[must_use]
    pub fn overdue(&self, now: ClockTime) -> Vec<ClientClosure> {
        let overdue = self.entries.iter().filter_map(|(client, entry)| {
            let (wait, waited_ms) = entry.wait(now)?;
            let limit_ms = match wait {
                ClientWait::NextRequest | ClientWait::FirstRequest => return None,
                ClientWait::Head => self.limits.head_ms,
                ClientWait::Body | ClientWait::Answer => self.limits.long_wait_ms,
            };
            let closure = self.closure(*client, entry, CloseReason::of(wait));
            (waited_ms > limit_ms).then_some(closure)
        });
        overdue.collect()
    }

    fn closure(&self, client: ClientId, entry: &ClientEntry, reason: CloseReason) -> ClientClosure {
        ClientClosure {
            client,
            port: entry.port,
            reason,
            held_bytes: entry.held_bytes(&self.limits),
        }
    }

    /// Changes an entry and counts the bytes that it holds anew.
    fn update(&mut self, client: ClientId, change: impl FnOnce(&mut ClientEntry)) {
        let Some(entry) = self.entries.get_mut(&client) else {
            return;
        };
        let before = entry.held_bytes(&self.limits);
        change(entry);
        self.held_bytes = self.held_bytes - before + entry.held_bytes(&self.limits);
    }
}
