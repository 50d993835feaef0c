use std::collections::BTreeMap;

use model::{CallName, ServiceName, TeamName};
use serde::Serialize;

use crate::contract_reader::read_contract;
use crate::{
    CallMatch, ContractError, RouteContract, ServiceContract, TeamContract, is_plain_path,
};

/// All that the operators' text says: the services, their calls and the teams.
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
    /// The routes by host and path, by name; without any, the first part of a path names the
    /// service.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<CallName, RouteContract>,
}

impl FleetContract {
    /// Parses and checks the operators' text.
    ///
    /// # Errors
    ///
    /// Returns a [`ContractError`] with every fault of the text; where the text isn't TOML, with
    /// every fault of its syntax.
    pub fn parse(source_name: &str, text: &str) -> Result<Self, ContractError> {
        read_contract(source_name, text)
    }

    /// Returns whether the contract has a call or a route of this name for a service.
    #[must_use]
    pub fn has_call(&self, service: &ServiceName, call: &CallName) -> bool {
        let known = self.services.get(service);
        let route = self.routes.get(call);
        known.is_some_and(|known| known.calls.contains_key(call))
            || route.is_some_and(|route| route.backends.contains_key(service))
    }

    /// Returns the call that a request is, or `None` when the contract has none for it.
    ///
    /// The call with the longest path wins, and of two with the same path the one that names the
    /// method. A query after the path is passed over. A path that a backend server might read
    /// in another way matches nothing, see [`is_plain_path`].
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
