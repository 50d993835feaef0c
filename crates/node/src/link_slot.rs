use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};
use wire::{LinkError, PeerLink};

use crate::node_settings::NodeSettings;

/// The result of opening a link, shared by all callers that wait for it.
type OpenResult = Result<Rc<PeerLink>, Rc<LinkError>>;

/// The address of another node and the link to it.
pub(crate) struct LinkSlot {
    address: SocketAddr,
    link: RefCell<Option<Rc<PeerLink>>>,
    /// The result of the attempt to open the link that is in progress.
    pending_open: RefCell<Option<Shared<oneshot::Receiver<OpenResult>>>>,
}

impl LinkSlot {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: RefCell::new(None),
            pending_open: RefCell::new(None),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open link, or opens a new one if the last one is down. `on_open` is called if
    /// this call starts the attempt and it succeeds.
    ///
    /// Concurrent callers share one attempt, which continues when they stop waiting.
    pub(crate) async fn get(
        self: &Rc<Self>,
        settings: &NodeSettings,
        on_open: impl FnOnce() + 'static,
    ) -> Result<Rc<PeerLink>, LinkError> {
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        let pending_open = self.join_pending_open(settings, on_open);
        let limit_ms = settings.link.connect_timeout_ms;
        let result = pending_open.await;
        let opened = result.map_err(|_| LinkError::ConnectTimeout(limit_ms))?;
        opened.map_err(LinkError::SharedConnect)
    }

    /// Returns whether the link is open now.
    pub(crate) fn is_open(&self) -> bool {
        self.open_link().is_some()
    }

    fn open_link(&self) -> Option<Rc<PeerLink>> {
        let link = self.link.borrow();
        link.as_ref().filter(|link| !link.is_down()).cloned()
    }

    /// Joins the attempt to open the link that is in progress, or starts one.
    fn join_pending_open(
        self: &Rc<Self>,
        settings: &NodeSettings,
        on_open: impl FnOnce() + 'static,
    ) -> Shared<oneshot::Receiver<OpenResult>> {
        let mut pending_open = self.pending_open.borrow_mut();
        if let Some(pending_open) = pending_open.as_ref() {
            return pending_open.clone();
        }
        let (sender, receiver) = oneshot::channel();
        let receiver = receiver.shared();
        *pending_open = Some(receiver.clone());
        let slot = Rc::clone(self);
        let settings = settings.clone();
        compio::runtime::spawn(async move {
            let result = slot.open(&settings).await;
            let down = result.as_ref().map(|link| link.down()).ok();
            if down.is_some() {
                on_open();
            }
            slot.pending_open.take();
            let _ = sender.send(result);
            let slot = Rc::downgrade(&slot);
            if let Some(down) = down {
                drop_link_after(&slot, down).await;
            }
        })
        .detach();
        receiver
    }

    /// Drops the link if it is down.
    fn drop_down_link(&self) {
        let _ = self.link.borrow_mut().take_if(|link| link.is_down());
    }

    async fn open(&self, settings: &NodeSettings) -> OpenResult {
        let connecting =
            PeerLink::connect(self.address, &settings.vm, &settings.secret, &settings.link);
        let link = Rc::new(connecting.await?);
        self.link.replace(Some(Rc::clone(&link)));
        Ok(link)
    }
}

/// Drops a link once it is down, to free its memory.
async fn drop_link_after(slot: &Weak<LinkSlot>, down: impl Future<Output = ()>) {
    down.await;
    if let Some(slot) = slot.upgrade() {
        slot.drop_down_link();
    }
}
