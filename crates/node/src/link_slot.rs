use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};
use wire::{LinkError, PeerLink};

use crate::node_settings::NodeSettings;

/// What became of an opening, told to all who wait for it.
type OpenResult = Result<Rc<PeerLink>, Rc<LinkError>>;

/// One other node: its address, and the link to it.
pub(crate) struct LinkSlot {
    address: SocketAddr,
    link: RefCell<Option<Rc<PeerLink>>>,
    /// The opening that is under way.
    opening: RefCell<Option<Shared<oneshot::Receiver<OpenResult>>>>,
}

impl LinkSlot {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: RefCell::new(None),
            opening: RefCell::new(None),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the link, opened anew when the last one broke; `on_open` is called when this opens
    /// one.
    ///
    /// All who ask meanwhile share one opening, which goes on when they leave.
    pub(crate) async fn get(
        self: &Rc<Self>,
        settings: &NodeSettings,
        on_open: impl FnOnce() + 'static,
    ) -> Result<Rc<PeerLink>, LinkError> {
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        let opening = self.join_opening(settings, on_open);
        let limit_ms = settings.link.connect_timeout_ms;
        let result = opening.await;
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

    /// Joins the opening that is under way, or begins one.
    fn join_opening(
        self: &Rc<Self>,
        settings: &NodeSettings,
        on_open: impl FnOnce() + 'static,
    ) -> Shared<oneshot::Receiver<OpenResult>> {
        let mut opening = self.opening.borrow_mut();
        if let Some(opening) = opening.as_ref() {
            return opening.clone();
        }
        let (sender, receiver) = oneshot::channel();
        let receiver = receiver.shared();
        *opening = Some(receiver.clone());
        let slot = Rc::clone(self);
        let settings = settings.clone();
        compio::runtime::spawn(async move {
            let result = slot.open(&settings).await;
            let down = result.as_ref().map(|link| link.down()).ok();
            if down.is_some() {
                on_open();
            }
            slot.opening.take();
            let _ = sender.send(result);
            let slot = Rc::downgrade(&slot);
            if let Some(down) = down {
                forget_after(&slot, down).await;
            }
        })
        .detach();
        receiver
    }

    /// Lets go of a link that is down.
    fn forget_down(&self) {
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

/// Lets go of the memory of a link once it is down.
async fn forget_after(slot: &Weak<LinkSlot>, down: impl Future<Output = ()>) {
    down.await;
    if let Some(slot) = slot.upgrade() {
        slot.forget_down();
    }
}
