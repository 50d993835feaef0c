use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, Waker};

use limit::{ClientClosure, ClientId, ClientLedger, ClientLimits, ClientPort};

use crate::node_clock::NodeClock;

/// Tells the task of a connection that the connection is to be closed.
#[derive(Default)]
struct CloseSwitch {
    is_on: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The bytes that are held for clients, and the connections that hold them.
pub(crate) struct ClientBudget {
    clock: NodeClock,
    ledger: RefCell<ClientLedger>,
    switches: RefCell<BTreeMap<ClientId, Rc<CloseSwitch>>>,
}

impl ClientBudget {
    pub(crate) fn new(clock: NodeClock, limits: ClientLimits) -> Self {
        Self {
            clock,
            ledger: RefCell::new(ClientLedger::new(limits)),
            switches: RefCell::default(),
        }
    }

    /// Returns the bytes that are held for all clients.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.ledger.borrow().held_bytes()
    }

    /// Counts a new connection until the returned value is dropped.
    pub(crate) fn open(self: &Rc<Self>, port: ClientPort) -> Rc<ClientConnection> {
        let client = self.ledger.borrow_mut().open(self.clock.now(), port);
        let switch = Rc::<CloseSwitch>::default();
        self.switches
            .borrow_mut()
            .insert(client, Rc::clone(&switch));
        Rc::new(ClientConnection {
            budget: Rc::clone(self),
            client,
            port,
            switch,
            awaits_read: Cell::new(false),
            open_requests: Cell::new(0),
        })
    }

    /// Closes the next connection that has to be closed because memory, or connections at a port,
    /// are short.
    pub(crate) fn close_next(&self, port: ClientPort) -> Option<ClientClosure> {
        let closure = self.ledger.borrow().next_closure(self.clock.now(), port)?;
        self.close(closure.client);
        Some(closure)
    }

    /// Closes the connections whose clients are slower than they may be at any time.
    pub(crate) fn close_overdue(&self) -> Vec<ClientClosure> {
        let overdue = self.ledger.borrow().overdue(self.clock.now());
        for closure in &overdue {
            self.close(closure.client);
        }
        overdue
    }

    fn close(&self, client: ClientId) {
        self.ledger.borrow_mut().close(client);
        if let Some(switch) = self.switches.borrow_mut().remove(&client) {
            switch.is_on.set(true);
            if let Some(waker) = switch.waker.take() {
                waker.wake();
            }
        }
    }

    /// Records that the body of a request is complete.
    pub(crate) fn end_body(&self, request: &ClientRequest) {
        if request.is_body_open.swap(false, Ordering::Relaxed) {
            let mut ledger = self.ledger.borrow_mut();
            ledger.end_body(self.clock.now(), request.client);
        }
    }

    /// Starts to hold the body of a request, with no bytes yet.
    pub(crate) fn hold_body(self: &Rc<Self>, request: Option<&ClientRequest>) -> BodyHold {
        BodyHold {
            budget: Rc::clone(self),
            client: request.map(|request| request.client),
            bytes: 0,
        }
    }
}

/// A request of a client, known to all that read its body.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    client: ClientId,
    is_body_open: Arc<AtomicBool>,
}

/// The bytes of a request's body in memory, released when this is dropped. The request is one of a
/// client, or has come over a link.
pub(crate) struct BodyHold {
    budget: Rc<ClientBudget>,
    client: Option<ClientId>,
    bytes: u64,
}

impl BodyHold {
    /// Holds `bytes` bytes in all, or returns `false` when memory is short.
    pub(crate) fn grow_to(&mut self, bytes: u64) -> bool {
        let more_bytes = bytes.saturating_sub(self.bytes);
        let is_held = self
            .budget
            .ledger
            .borrow_mut()
            .hold(self.client, more_bytes);
        if is_held {
            self.bytes += more_bytes;
        }
        is_held
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let mut ledger = self.budget.ledger.borrow_mut();
        ledger.release(self.client, self.bytes);
    }
}

/// An open connection of a client.
pub(crate) struct ClientConnection {
    budget: Rc<ClientBudget>,
    client: ClientId,
    port: ClientPort,
    switch: Rc<CloseSwitch>,
    /// Whether a read waits for the client.
    awaits_read: Cell<bool>,
    /// The number of requests that aren't answered completely.
    open_requests: Cell<usize>,
}

impl ClientConnection {
    pub(crate) const fn port(&self) -> ClientPort {
        self.port
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.switch.is_on.get()
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        poll_fn(|context| {
            if self.is_closed() {
                return Poll::Ready(());
            }
            self.switch.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    pub(crate) fn use_http2(&self, window_bytes: u32) {
        let mut ledger = self.budget.ledger.borrow_mut();
        ledger.use_http2(self.client, u64::from(window_bytes));
    }

    /// Returns whether a read has waited for the client since [`Self::begin_poll`].
    pub(crate) fn awaits_read(&self) -> bool {
        self.awaits_read.get()
    }

    /// Records that the connection is about to be polled, which reads from it unless it has enough.
    pub(crate) fn begin_poll(&self) {
        self.awaits_read.set(false);
    }

    /// Returns whether a request isn't answered completely.
    pub(crate) fn has_requests(&self) -> bool {
        self.open_requests.get() > 0
    }

    /// Records a read: the bytes that it returned, or `None` if it waits for the client.
    pub(crate) fn record_read(&self, bytes: Option<u64>) {
        self.awaits_read.set(bytes.is_none());
        let now = self.budget.clock.now();
        let mut ledger = self.budget.ledger.borrow_mut();
        match bytes {
            Some(bytes) => ledger.receive(now, self.client, bytes),
            None => ledger.await_read(now, self.client),
        }
    }

    /// Records a write: the bytes that it took, or `None` if it waits for the client.
    pub(crate) fn record_write(&self, bytes: Option<u64>) {
        let now = self.budget.clock.now();
        let mut ledger = self.budget.ledger.borrow_mut();
        match bytes {
            Some(bytes) => ledger.send(now, self.client, bytes),
            None => ledger.await_write(now, self.client),
        }
    }

    /// Records that the head of a request has arrived, and returns whether there is memory for the
    /// request.
    pub(crate) fn start_request(self: &Rc<Self>, has_body: bool) -> (OpenRequest, bool) {
        let now = self.budget.clock.now();
        let mut ledger = self.budget.ledger.borrow_mut();
        let is_admitted = ledger.start_request(now, self.client, has_body);
        let request = ClientRequest {
            client: self.client,
            is_body_open: Arc::new(AtomicBool::new(has_body)),
        };
        self.open_requests.set(self.open_requests.get() + 1);
        let connection = Rc::clone(self);
        let open = OpenRequest {
            connection,
            request,
        };
        (open, is_admitted)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().close(self.client);
        self.budget.switches.borrow_mut().remove(&self.client);
    }
}

/// A request that isn't answered completely; dropped with the answer.
pub(crate) struct OpenRequest {
    connection: Rc<ClientConnection>,
    request: ClientRequest,
}

impl OpenRequest {
    pub(crate) fn request(&self) -> ClientRequest {
        self.request.clone()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.connection.open_requests;
        open_requests.set(open_requests.get() - 1);
        let budget = &self.connection.budget;
        let had_open_body = self.request.is_body_open.swap(false, Ordering::Relaxed);
        let mut ledger = budget.ledger.borrow_mut();
        ledger.end_request(budget.clock.now(), self.request.client, had_open_body);
    }
}
