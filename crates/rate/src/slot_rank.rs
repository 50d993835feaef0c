use model::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The order in which the nodes of a data centre stand by for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRank {
    /// The first nodes in order, this one left out.
    pub(crate) successors: Vec<VmName>,
    /// The place of this node.
    pub(crate) own: Option<u64>,
}

impl SlotRank {
    /// Ranks `nodes` by a hash that differs per slot.
    pub(crate) fn new(slot: u16, own: &VmName, nodes: &[&VmName], successors: usize) -> Self {
        let hash = |vm: &VmName| xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(slot));
        let mut ranked: Vec<(u64, &VmName)> = nodes.iter().map(|vm| (hash(vm), *vm)).collect();
        ranked.sort_unstable();
        let place = ranked.iter().position(|(_, vm)| *vm == own);
        let others = ranked.iter().filter(|(_, vm)| *vm != own);
        Self {
            successors: others
                .take(successors)
                .map(|(_, vm)| (*vm).clone())
                .collect(),
            own: place.map(|place| place as u64),
        }
    }
}
