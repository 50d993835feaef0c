use std::fs;

use model::VmName;
use node::{NodeSettings, ReportSettings};
use platform::{FileSettings, StoreClient, StoreLog, edge_settings, read_notice, read_settings};
use streams::LogHandle;
use wire::FleetSecret;

use crate::command_error::CommandError;
use crate::setting_fault::{SettingFault, SettingFaults};

/// The parts of the drain time for which calls that were let in before a leave may still reach the
/// backend server.
const DRAIN_PARTS: u64 = 2;

/// Reads the platform's settings file.
pub(crate) fn read_file(path: &str) -> Result<FileSettings, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::ReadFile {
        file: path.to_owned(),
        error,
    })?;
    read_settings(&text).map_err(|problems| {
        let faults = problems.iter().map(|problem| SettingFault::InFile {
            path: path.to_owned(),
            problem: problem.to_string(),
        });
        SettingFaults(faults.collect()).into()
    })
}

/// Returns the settings of the node that the file asks for.
pub(crate) fn node_settings(file: &FileSettings, vm: VmName) -> NodeSettings {
    let bounds = &file.bounds;
    let secret = shared_secret(file);
    let base = NodeSettings::loopback(vm, file.service.clone(), secret);
    let base = NodeSettings {
        centre: file.centre.clone(),
        caller_address: file.caller_address,
        egress_address: file.egress_address,
        peer_address: file.peer_address,
        admin_address: file.ready_address,
        metrics_address: Some(file.metrics_address),
        backend_address: file.backend_address,
        platform_address: file.store_address,
        edge: edge_settings(),
        reports: Some(ReportSettings {
            address: file.report_address,
            read_notice,
            leave_grace_ms: bounds.drain_ms / DRAIN_PARTS,
        }),
        ..base
    };
    base.with_bounds(bounds)
}

/// Returns the log that the file names.
pub(crate) fn open_log(file: &FileSettings) -> Result<LogHandle, CommandError> {
    let client = StoreClient::new(file.store_address).map_err(CommandError::Client)?;
    Ok(LogHandle::new(StoreLog::new(client)))
}

/// Returns the secret of a fleet whose nodes are told none.
///
/// The platform lets only the fleet's machines reach the port between nodes, so this keeps fleets
/// of two stores apart and no more.
fn shared_secret(file: &FileSettings) -> FleetSecret {
    let text = format!("fleet of the store at {}", file.store_address);
    FleetSecret::new(text.as_str()).expect("the text is longer than a secret has to be")
}
