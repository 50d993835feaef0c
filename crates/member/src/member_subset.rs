use model::{CentreName, VmName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::MemberAnnouncement;

/// The number of VMs of a service that a node keeps links to.
///
/// The VMs are selected by rendezvous hashing of both names: the result depends only on the
/// members, and when one VM joins or leaves, at most one link of a node changes.
#[derive(Clone, Copy, Debug)]
pub struct MemberSubset {
    /// The VMs in the node's own data centre.
    pub local: usize,
    /// The VMs in other data centres; more if there are too few in the own one.
    pub remote: usize,
}

impl Default for MemberSubset {
    fn default() -> Self {
        Self {
            local: 12,
            remote: 8,
        }
    }
}

impl MemberSubset {
    /// Selects among the members of a service for a node.
    #[must_use]
    pub fn pick<'a>(
        &self,
        own: &VmName,
        centre: &CentreName,
        members: impl Iterator<Item = &'a MemberAnnouncement>,
    ) -> Vec<&'a MemberAnnouncement> {
        let seed = xxh3_64_with_seed(own.as_str().as_bytes(), 0);
        let rank =
            |member: &&MemberAnnouncement| xxh3_64_with_seed(member.vm.as_str().as_bytes(), seed);
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            members.partition(|member| member.centre == *centre);
        local.sort_by_cached_key(rank);
        remote.sort_by_cached_key(rank);
        local.truncate(self.local);
        remote.truncate(self.local + self.remote - local.len());
        local.extend(remote);
        local
    }
}
