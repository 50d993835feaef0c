use std::fmt;

use contract::FleetContract;
use graph::DependencyGraph;

use crate::args::CheckArgs;
use crate::command_error::CommandError;
use crate::commands::contract_file::ContractFile;
use crate::setting_reader::SettingReader;

/// Validates a contract text and prints a summary of it.
pub(crate) fn run_check(args: &CheckArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let file = reader.argument("FILE", args.file.as_deref());
    let file: String = reader.finish(file)?;
    let file = ContractFile::read(&file)?;
    let summary = ContractSummary::new(&file.contract);
    println!("{} is valid: {summary}", file.name);
    Ok(())
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
