use model::VmName;

/// The shape of the tree that hands news on within a data centre.
#[derive(Clone, Copy, Debug)]
pub struct PlanSettings {
    /// The number of nodes that read the log themselves.
    pub readers: usize,
    /// The number of nodes that ask one node.
    pub fan_out: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            readers: 3,
            fan_out: 4,
        }
    }
}

/// Whom a node asks for news: the log itself, or a few nodes in turn.
///
/// The nodes of a data centre are ranked by name. The first few read the log, and ask the
/// readers of all data centres when they can't. Each later node asks one of a lower rank, and the
/// readers of its own data centre and then of the others when that one has no news. Nodes that
/// know different members may ask one another; news is only as fresh as it says, so they fall
/// back to the log.
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
    /// Plans for a node, given the ready nodes of its data centre, which may include itself, and
    /// the readers of the others.
    #[must_use]
    pub fn new(
        own: &VmName,
        centre: &[VmName],
        remote_readers: &[VmName],
        settings: &PlanSettings,
    ) -> Self {
        let mut names: Vec<&VmName> = centre.iter().chain([own]).collect();
        names.sort_unstable();
        names.dedup();
        let rank = names.partition_point(|name| *name < own);
        let readers = &names[..settings.readers.min(names.len())];
        let Some(below) = rank.checked_sub(settings.readers) else {
            let others = readers.iter().copied().filter(|name| *name != own);
            return Self::from_sources(others.chain(remote_readers).cloned().collect());
        };
        let parent = names[below / settings.fan_out.max(1)];
        let others = readers.iter().copied().filter(|name| *name != parent);
        Self {
            is_reader: false,
            sources: [parent]
                .into_iter()
                .chain(others)
                .chain(remote_readers)
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

    /// Returns the nodes that read the log, among the ready nodes of one data centre.
    #[must_use]
    pub fn readers(centre: &[VmName], settings: &PlanSettings) -> Vec<VmName> {
        let mut names = centre.to_vec();
        names.sort_unstable();
        names.truncate(settings.readers);
        names
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
