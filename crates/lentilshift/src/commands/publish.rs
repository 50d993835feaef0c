use std::net::SocketAddr;

use crate::args::PublishArgs;
use crate::command_error::CommandError;
use crate::commands::contract_file::read_contract;
use crate::setting_reader::SettingReader;

/// Publishes a contract text on the base of a version.
pub(crate) fn run_publish(args: &PublishArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let file: Option<String> = reader.argument("FILE", args.file.as_deref());
    let base: Option<u64> = reader.required("base", args.base.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let settings = file.zip(base).zip(platform);
    let ((file, _base), _platform) = reader.finish(settings)?;
    read_contract(&file)?;
    Err(CommandError::NotBuilt("publish"))
}
