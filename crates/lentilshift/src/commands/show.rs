use std::net::SocketAddr;

use crate::args::ShowArgs;
use crate::command_error::CommandError;
use crate::setting_reader::SettingReader;

/// Shows the contract that is in force.
pub(crate) fn run_show(args: &ShowArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let platform = reader.required("platform", args.platform.as_deref());
    let _platform: SocketAddr = reader.finish(platform)?;
    Err(CommandError::NotBuilt("show"))
}
