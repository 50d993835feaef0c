use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use member::MemberAnnouncement;
use model::VmName;
use wire::{LinkError, PeerLink};

use crate::link_slot::LinkSlot;
use crate::node_settings::NodeSettings;

/// The prefix of the placeholder names of nodes that are only known by an address in the settings.
const SEED_PREFIX: &str = "seed-";

/// The links to other nodes by VM, each opened when it is first needed.
#[derive(Default)]
pub(crate) struct PeerLinks {
    slots: RefCell<BTreeMap<VmName, Rc<LinkSlot>>>,
    /// The VMs to which a link was opened since the last [`take_opened`](Self::take_opened).
    opened: Rc<RefCell<Vec<VmName>>>,
}

impl PeerLinks {
    /// Adds an address from the settings, and returns its placeholder name.
    pub(crate) fn add_seed(&self, address: SocketAddr) -> VmName {
        let vm = VmName::new(format!("{SEED_PREFIX}{address}"));
        self.upsert(vm.clone(), address);
        vm
    }

    /// Removes the links to all nodes but these members and the addresses from the settings, and
    /// adds the members that are missing.
    pub(crate) fn retain_members(&self, members: &[MemberAnnouncement]) {
        let names: BTreeSet<&VmName> = members.iter().map(|member| &member.vm).collect();
        self.slots
            .borrow_mut()
            .retain(|vm, _| names.contains(vm) || vm.as_str().starts_with(SEED_PREFIX));
        for member in members {
            self.upsert(member.vm.clone(), member.peer_addr);
        }
    }

    fn upsert(&self, vm: VmName, address: SocketAddr) {
        let mut slots = self.slots.borrow_mut();
        if slots.get(&vm).is_some_and(|slot| slot.address() == address) {
            return;
        }
        slots.insert(vm, Rc::new(LinkSlot::new(address)));
    }

    /// Returns the names of the known VMs.
    pub(crate) fn names(&self) -> Vec<VmName> {
        self.slots.borrow().keys().cloned().collect()
    }

    /// Returns the names of the VMs to which a link is open.
    pub(crate) fn open_names(&self) -> Vec<VmName> {
        let slots = self.slots.borrow();
        let open = slots.iter().filter(|(_, slot)| slot.is_open());
        open.map(|(vm, _)| vm.clone()).collect()
    }

    /// Removes and returns the names of the VMs to which a link was opened since the last call.
    pub(crate) fn take_opened(&self) -> Vec<VmName> {
        self.opened.take()
    }

    /// Returns the link to a VM, which is opened if there is none or the last one broke.
    pub(crate) async fn get(
        &self,
        settings: &NodeSettings,
        vm: &VmName,
    ) -> Result<Rc<PeerLink>, LinkError> {
        let slot = self.slots.borrow().get(vm).cloned();
        let slot = slot.ok_or_else(|| {
            let text = format!("VM \"{vm}\" has announced no address");
            LinkError::Connect(std::io::Error::new(std::io::ErrorKind::NotFound, text))
        })?;
        let opened = Rc::clone(&self.opened);
        let name = vm.clone();
        let on_open = move || opened.borrow_mut().push(name);
        slot.get(settings, on_open).await
    }
}
