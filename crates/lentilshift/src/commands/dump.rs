use std::net::SocketAddr;

use crate::args::DumpArgs;
use crate::command_error::CommandError;
use crate::setting_reader::SettingReader;

/// Shows the state of a node.
pub(crate) fn run_dump(args: &DumpArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let address = reader.argument("ADDRESS", args.address.as_deref());
    let _address: SocketAddr = reader.finish(address)?;
    Err(CommandError::NotBuilt("dump"))
}
