use model::VmName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The order in which the nodes of a data centre become allocator of a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRank {
    /// The first nodes in that order, without this one.
    pub(crate) successors: Vec<VmName>,
    /// The rank of this node, if it is among the nodes of its data centre.
    pub(crate) own: Option<u64>,
}

impl SlotRank {
    /// Ranks `nodes` by a hash that is seeded with the slot, so the order differs per slot.
    pub(crate) fn new(slot: u16, own: &VmName, nodes: &[&VmName], successors: usize) -> Self {
        let hash = |vm: &VmName| xxh3_64_with_seed(vm.as_str().as_bytes(), u64::from(slot));
        let own_key = (hash(own), own);
        let mut is_known = false;
        let mut rank = 0;
        let mut first: Vec<(u64, &VmName)> = Vec::with_capacity(successors + 1);
        for key in nodes.iter().map(|vm| (hash(vm), *vm)) {
            is_known |= key == own_key;
            rank += u64::from(key < own_key);
            if key != own_key {
                let at = first.partition_point(|other| *other < key);
                first.insert(at, key);
                first.truncate(successors);
            }
        }
        Self {
            successors: first.into_iter().map(|(_, vm)| vm.clone()).collect(),
            own: is_known.then_some(rank),
        }
    }
}
