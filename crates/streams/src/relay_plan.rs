use std::collections::BTreeMap;

use model::{CentreName, VmName};

/// The shape of the tree that distributes updates within a fleet.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// The number of gateway nodes of a data centre, through which updates enter it.
    pub gateways: usize,
    /// The number of data centres whose gateway nodes read the log themselves.
    pub reading_centres: usize,
    /// The number of nodes that pull from one node.
    pub fan_out: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            gateways: 3,
            reading_centres: usize::MAX,
            fan_out: 4,
        }
    }
}

/// The sources from which a node gets updates: the log itself, or a list of nodes in order of
/// preference.
///
/// The nodes of a data centre are ranked by name; the first few are its gateway nodes. The gateway
/// nodes of the first `reading_centres` data centres read the log, and pull from each other and
/// from the other reading data centres when they can't. The gateway nodes of the remaining data
/// centres pull from these readers, so the number of readers doesn't grow with the fleet. Every
/// other node pulls from one node of a lower rank; when that node has no updates, it tries the
/// gateway nodes of its own data centre and then the readers of the others. Nodes with different
/// member lists may pull from one another in a cycle; since relaying never makes an update look
/// newer, they notice that their state ages and fall back to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan {
    is_reader: bool,
    sources: Vec<VmName>,
}

impl Default for RelayPlan {
    fn default() -> Self {
        Self::from_sources(Vec::new())
    }
}

impl RelayPlan {
    /// Creates the plan of a node, given the live nodes of each data centre, which may include
    /// itself.
    #[must_use]
    pub fn new(
        own: &VmName,
        own_centre: &CentreName,
        centres: &BTreeMap<CentreName, Vec<VmName>>,
        settings: &PlanSettings,
    ) -> Self {
        let local = centres.get(own_centre).map_or(&[][..], Vec::as_slice);
        let mut names: Vec<&VmName> = local.iter().chain([own]).collect();
        names.sort_unstable();
        names.dedup();
        let rank = names.partition_point(|name| *name < own);
        let gateways = &names[..settings.gateways.min(names.len())];
        let (position, remote) = remote_gateways(own_centre, centres, settings);
        let Some(rank_below_gateways) = rank.checked_sub(settings.gateways) else {
            let local_gateways = gateways.iter().copied().filter(|name| *name != own);
            let is_reader = position < settings.reading_centres || remote.is_empty();
            let sources: Vec<VmName> = if is_reader {
                local_gateways.chain(remote).cloned().collect()
            } else {
                remote.into_iter().chain(local_gateways).cloned().collect()
            };
            return Self { is_reader, sources };
        };
        let parent = names[rank_below_gateways / settings.fan_out.max(1)];
        let others = gateways.iter().copied().filter(|name| *name != parent);
        Self {
            is_reader: false,
            sources: [parent]
                .into_iter()
                .chain(others)
                .chain(remote)
                .cloned()
                .collect(),
        }
    }

    /// Creates the plan of a node that reads the log, and pulls from these nodes when it can't.
    #[must_use]
    pub const fn from_sources(sources: Vec<VmName>) -> Self {
        Self {
            is_reader: true,
            sources,
        }
    }

    /// Returns the gateway nodes among the live nodes of a data centre.
    #[must_use]
    pub fn gateways(centre: &[VmName], settings: &PlanSettings) -> Vec<VmName> {
        let mut names = centre.to_vec();
        names.sort_unstable();
        names.truncate(settings.gateways);
        names
    }

    /// Returns the first node of the fleet that reads the log, used for tasks that a single node
    /// should do for the fleet.
    #[must_use]
    pub fn first_reader(centres: &BTreeMap<CentreName, Vec<VmName>>) -> Option<&VmName> {
        let mut names = centres.values().filter(|names| !names.is_empty());
        names.next()?.iter().min()
    }

    /// Returns whether the node reads the log itself.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns the nodes to pull from, in order of preference.
    #[must_use]
    pub fn sources(&self) -> &[VmName] {
        &self.sources
    }
}

/// Returns the position of a data centre among all, and the gateway nodes of the other reading data
/// centres. The list is rotated by the position, to spread the load over them.
fn remote_gateways<'a>(
    own_centre: &CentreName,
    centres: &'a BTreeMap<CentreName, Vec<VmName>>,
    settings: &PlanSettings,
) -> (usize, Vec<&'a VmName>) {
    let mut names: Vec<&CentreName> = centres
        .iter()
        .filter(|(_, names)| !names.is_empty())
        .map(|(centre, _)| centre)
        .chain([own_centre])
        .collect();
    names.sort_unstable();
    names.dedup();
    let position = names.partition_point(|name| *name < own_centre);
    let reading = names.into_iter().take(settings.reading_centres);
    let mut remote: Vec<&VmName> = reading
        .filter(|name| *name != own_centre)
        .flat_map(|name| {
            let mut names: Vec<&VmName> = centres[name].iter().collect();
            names.sort_unstable();
            names.truncate(settings.gateways);
            names
        })
        .collect();
    if !remote.is_empty() {
        let first = position % remote.len();
        remote.rotate_left(first);
    }
    (position, remote)
}
