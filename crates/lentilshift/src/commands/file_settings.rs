use std::fs;

use model::VmName;
use node::{ClientSettings, NodeSettings, ReportSettings};
use platform::{FileSettings, StoreClient, StoreLog, edge_settings, read_notice, read_settings};
use streams::LogHandle;
use wire::FleetSecret;

use crate::command_error::CommandError;
use crate::setting_error::{SettingError, SettingErrors};

/// Calls admitted before a leave may reach the backend server for the drain time divided by this.
const LEAVE_GRACE_DIVISOR: u64 = 2;

/// Reads the platform's settings file.
pub(crate) fn read_file(path: &str) -> Result<FileSettings, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::ReadFile {
        file: path.to_owned(),
        error,
    })?;
    read_settings(&text).map_err(|problems| {
        let errors = problems.iter().map(|problem| SettingError::InFile {
            path: path.to_owned(),
            problem: problem.to_string(),
        });
        SettingErrors(errors.collect()).into()
    })
}

/// Returns the settings of the node that the file describes.
pub(crate) fn node_settings(file: &FileSettings, vm: VmName) -> NodeSettings {
    let bounds = &file.bounds;
    let secret = derived_secret(file);
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
            leave_grace_ms: bounds.drain_ms / LEAVE_GRACE_DIVISOR,
        }),
        clients: ClientSettings::for_vm(file.memory_bytes, file.descriptors),
        ..base
    };
    base.with_bounds(bounds)
}

/// Opens the log whose address is in the file.
pub(crate) fn open_log(file: &FileSettings) -> Result<LogHandle, CommandError> {
    let client = StoreClient::new(file.store_address).map_err(CommandError::Client)?;
    Ok(LogHandle::new(StoreLog::new(client)))
}

/// Returns the fleet secret of nodes that are configured by the platform's file, which holds none.
///
/// The secret is derived from the store's address and can be guessed. It only keeps fleets of
/// different stores from connecting to each other; the platform lets only the VMs of the fleet reach
/// the port between nodes.
fn derived_secret(file: &FileSettings) -> FleetSecret {
    let text = format!("fleet of the store at {}", file.store_address);
    FleetSecret::new(text.as_str()).expect("the text is longer than the minimum length of a secret")
}
