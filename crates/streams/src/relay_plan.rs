use std::collections::BTreeMap;

use model::{CentreName, VmName};

/// The shape of the tree that hands news on within a fleet.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// The number of nodes of a data centre that news enters it by.
    pub heads: usize,
    /// The number of data centres whose heads read the log themselves.
    pub reading_centres: usize,
    /// The number of nodes that ask one node.
    pub fan_out: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            heads: 3,
            reading_centres: usize::MAX,
            fan_out: 4,
        }
    }
}

/// Whom a node asks for news: the log itself, or a few nodes in turn.
///
/// The nodes of a data centre are ranked by name, and the first few are its heads. Those of the
/// first data centres read the log, and ask the heads of all data centres when they can't; the
/// heads of the others ask them, one data centre each, so that the number of readers doesn't grow
/// with the fleet. Each later node asks one of a lower rank, and the heads of its own data centre
/// and then the readers of the others when that one has no news. Nodes that know different
/// members may ask one another; news is only as fresh as it says, so they fall back to the log.
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
    /// Plans for a node, given the live nodes of each data centre, which may include itself.
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
        let heads = &names[..settings.heads.min(names.len())];
        let (place, remote) = remote_heads(own_centre, centres, settings);
        let Some(below) = rank.checked_sub(settings.heads) else {
            let siblings = heads.iter().copied().filter(|name| *name != own);
            let is_reader = place < settings.reading_centres || remote.is_empty();
            let sources: Vec<VmName> = if is_reader {
                siblings.chain(remote).cloned().collect()
            } else {
                remote.into_iter().chain(siblings).cloned().collect()
            };
            return Self { is_reader, sources };
        };
        let parent = names[below / settings.fan_out.max(1)];
        let others = heads.iter().copied().filter(|name| *name != parent);
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

    /// Creates the plan of a node that reads the log, and asks these nodes when it can't.
    #[must_use]
    pub const fn from_sources(sources: Vec<VmName>) -> Self {
        Self {
            is_reader: true,
            sources,
        }
    }

    /// Returns the nodes by which news enters a data centre, among its live nodes.
    #[must_use]
    pub fn heads(centre: &[VmName], settings: &PlanSettings) -> Vec<VmName> {
        let mut names = centre.to_vec();
        names.sort_unstable();
        names.truncate(settings.heads);
        names
    }

    /// Returns the first node of the fleet that reads the log, which does for all what one can.
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

    /// Returns the nodes to ask, the first one first.
    #[must_use]
    pub fn sources(&self) -> &[VmName] {
        &self.sources
    }
}

/// Returns the place of a data centre among all, and the reading heads of the others; each place
/// begins with another one of these, so that the load of asking them is spread.
fn remote_heads<'a>(
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
    let place = names.partition_point(|name| *name < own_centre);
    let reading = names.into_iter().take(settings.reading_centres);
    let mut remote: Vec<&VmName> = reading
        .filter(|name| *name != own_centre)
        .flat_map(|name| {
            let mut names: Vec<&VmName> = centres[name].iter().collect();
            names.sort_unstable();
            names.truncate(settings.heads);
            names
        })
        .collect();
    if !remote.is_empty() {
        let first = place % remote.len();
        remote.rotate_left(first);
    }
    (place, remote)
}
