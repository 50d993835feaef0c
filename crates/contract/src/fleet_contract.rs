use std::collections::BTreeMap;

use model::{CallName, ServiceName, TeamName};
use serde::Serialize;

use crate::contract_reader::read_contract;
use crate::{
    CallMatch, ContractError, RouteContract, ServiceContract, TeamContract, is_plain_path,
};

/// The contract of a fleet: its services with their calls, its teams and its routes.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::FleetContract;
///
/// let text = r#"
/// [services.registry]
/// [services.filings]
/// depends_on = ["registry"]
/// [services.filings.calls.file]
/// method = "POST"
/// path = "/filings"
/// importance = "critical"
/// once = true
/// "#;
/// let contract = FleetContract::parse("fleet.toml", text)?;
/// let call = contract.find_call("filings", "POST", "/filings/new").unwrap();
/// assert_eq!(call.call.as_str(), "file");
/// # Ok::<(), lentilshift_contract::ContractError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetContract {
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceContract>,
    /// The teams, by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<TeamName, TeamContract>,
    /// The routes by host and path, by name. Without routes, the first segment of a path is the
    /// name of the service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<CallName, RouteContract>,
}

impl FleetContract {
    /// Parses and validates a contract text.
    ///
    /// # Errors
    ///
    /// Returns a [`ContractError`] that lists all faults of the text, or only its syntax errors if
    /// it isn't valid TOML.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, ContractError> {
        read_contract(source_name, text)
    }

    /// Returns whether a service has a call of this name or is a backend of a route of this name.
    #[must_use]
    pub fn has_call(&self, service: &ServiceName, call: &CallName) -> bool {
        let known = self.services.get(service);
        let route = self.routes.get(call);
        known.is_some_and(|known| known.calls.contains_key(call))
            || route.is_some_and(|route| route.backends.contains_key(service))
    }

    /// Returns the call that a request matches, or `None` if there is none.
    ///
    /// Of several matching calls, the one with the longest path is returned, and of two with the
    /// same path the one that names the method. The query of the path is ignored. A path that a
    /// backend server might interpret differently matches no call, see [`is_plain_path`].
    #[must_use]
    pub fn find_call(&self, service: &str, method: &str, path: &str) -> Option<CallMatch<'_>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        if !is_plain_path(path) {
            return None;
        }
        let (service, service_contract) = self.services.get_key_value(service)?;
        let (call, contract) = service_contract.find_call(method, path)?;
        Some(CallMatch {
            service,
            call,
            contract,
        })
    }
}
