use std::fmt;
use std::net::SocketAddr;

use contract::{FleetContract, compare_contracts, review_contract};
use graph::DependencyGraph;

use crate::args::CheckArgs;
use crate::command_error::CommandError;
use crate::commands::contract_file::ContractFile;
use crate::config_client::ConfigClient;
use crate::setting_reader::SettingReader;

/// Validates a contract text, and prints a summary of it, what it probably doesn't mean, and what
/// differs from another text or from the one in force.
pub(crate) async fn run_check(args: &CheckArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let file = reader.argument("FILE", args.file.as_deref());
    let platform: Option<SocketAddr> = reader.optional("platform", args.platform.as_deref());
    let file: String = reader.finish(file)?;
    let file = ContractFile::read_either(&file)?;
    for warning in review_contract(&file.contract) {
        println!("warning: {warning}");
    }
    if let Some(other) = &args.against {
        print_differences(&ContractFile::read_either(other)?.contract, &file.contract);
    } else if let Some(platform) = platform {
        let client = ConfigClient::connect(platform).await?;
        let in_force = client.fold().in_force();
        let contract = FleetContract::parse("contract in force", &in_force.text)?;
        println!("differences from version {}:", in_force.version);
        print_differences(&contract, &file.contract);
    }
    let summary = ContractSummary::new(&file.contract);
    println!("{} is valid: {summary}", file.name);
    Ok(())
}

fn print_differences(old: &FleetContract, new: &FleetContract) {
    let differences = compare_contracts(old, new);
    if differences.is_empty() {
        println!("no difference");
    }
    for difference in differences {
        println!("{difference}");
    }
}

/// The size of a contract.
struct ContractSummary {
    services: usize,
    calls: usize,
    teams: usize,
    depth: usize,
}

impl ContractSummary {
    fn new(contract: &FleetContract) -> Self {
        let services = contract.services.values();
        Self {
            services: contract.services.len(),
            calls: services.map(|service| service.calls.len()).sum(),
            teams: contract.teams.len(),
            depth: DependencyGraph::new(contract).max_depth(),
        }
    }
}

impl fmt::Display for ContractSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "services={} calls={} teams={} deepest_chain={}",
            self.services, self.calls, self.teams, self.depth
        )
    }
}
