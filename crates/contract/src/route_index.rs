use std::collections::BTreeMap;
use std::sync::Arc;

use model::CallName;

use crate::{FleetContract, RouteContract};

/// The routes of one host, by path prefix.
type HostRoutes = BTreeMap<Arc<str>, (CallName, RouteContract)>;

/// An index that finds the route of a request by its host and the longest matching path prefix.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::{FleetContract, RouteIndex};
///
/// let text = r#"
/// [services.archive]
/// [routes.all]
/// host = "cairns.example"
/// path = "/"
/// backends = { archive = 1 }
/// [routes.old]
/// host = "cairns.example"
/// path = "/old/"
/// backends = { archive = 1 }
/// "#;
/// let index = RouteIndex::new(&FleetContract::parse("fleet.toml", text)?);
/// let name = |path| index.find("cairns.example", path).map(|(name, _)| name.as_str());
/// assert_eq!(name("/old/7"), Some("old"));
/// assert_eq!(name("/older"), Some("all"));
/// # Ok::<(), lentilshift_contract::ContractError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    hosts: BTreeMap<Arc<str>, HostRoutes>,
}

impl RouteIndex {
    /// Creates an index of a contract's routes.
    #[must_use]
    pub fn new(contract: &FleetContract) -> Self {
        let mut index = Self::default();
        for (name, route) in &contract.routes {
            let paths = index.hosts.entry(Arc::clone(&route.host)).or_default();
            paths.insert(Arc::clone(&route.path), (name.clone(), route.clone()));
        }
        index
    }

    /// Returns the route of a request, or `None` if no route matches.
    ///
    /// The port of the host and the query of the path are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<(&CallName, &RouteContract)> {
        let host = host.split(':').next().unwrap_or_default();
        let paths = self.hosts.get(host)?;
        let mut prefix = path.split('?').next().unwrap_or_default();
        while let Some(end) = prefix.rfind('/') {
            if let Some((name, route)) = paths.get(&prefix[..=end]) {
                return Some((name, route));
            }
            prefix = &prefix[..end];
        }
        None
    }
}
