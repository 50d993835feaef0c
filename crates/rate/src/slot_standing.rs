use clock::ClockTime;
use model::VmName;

/// How a node stands by for a slot, by the members that it knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotStanding<'a> {
    /// The nodes to name as successors, best first.
    pub(crate) candidates: &'a [VmName],
    /// The place of this node among those of its data centre.
    pub(crate) rank: Option<u64>,
    /// When this node may begin a vacant lease.
    pub(crate) begin_at: Option<ClockTime>,
}
