use clock::ClockTime;
use model::VmName;

/// The rank of this node and the candidates to succeed it as a slot's allocator, computed from the
/// known members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotStandby<'a> {
    /// The nodes to name as successors, in order of preference.
    pub(crate) candidates: &'a [VmName],
    /// The rank of this node among those of its data centre.
    pub(crate) rank: Option<u64>,
    /// When this node may claim a vacant lease.
    pub(crate) claim_at: Option<ClockTime>,
}
