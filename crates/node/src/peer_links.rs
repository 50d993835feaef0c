use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use member::MemberAnnouncement;
use model::VmName;
use wire::{LinkError, PeerLink};

use crate::link_slot::LinkSlot;
use crate::node_settings::NodeSettings;

/// What the names that stand for addresses of the settings start with.
const SEED_PREFIX: &str = "seed-";

/// The links to other nodes, by VM; opened when first needed.
#[derive(Default)]
pub(crate) struct PeerLinks {
    slots: RefCell<BTreeMap<VmName, Rc<LinkSlot>>>,
    opened: Rc<RefCell<Vec<VmName>>>,
}

impl PeerLinks {
    /// Notes an address of the settings, and returns the name that stands for it.
    pub(crate) fn add_seed(&self, address: SocketAddr) -> VmName {
        let vm = VmName::new(format!("{SEED_PREFIX}{address}"));
        self.upsert(vm.clone(), address);
        vm
    }

    /// Keeps the links to these members and to the addresses of the settings.
    pub(crate) fn keep_only(&self, members: &[MemberAnnouncement]) {
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

    /// Takes the names of the VMs to which a link was opened since this was last asked.
    pub(crate) fn take_opened(&self) -> Vec<VmName> {
        self.opened.take()
    }

    /// Returns the link to a VM, opened anew when the last one broke.
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
