use std::net::SocketAddr;

use crate::args::ShowArgs;
use crate::command_error::CommandError;
use crate::config_client::ConfigClient;
use crate::setting_reader::SettingReader;

/// Prints the contract text in force on standard output, and its version on standard error.
pub(crate) async fn run_show(args: &ShowArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let platform = reader.required("platform", args.platform.as_deref());
    let platform: SocketAddr = reader.finish(platform)?;

    let client = ConfigClient::connect(platform).await?;
    let fold = client.fold();
    print!("{}", fold.in_force().text);
    eprintln!(
        "version={} newest_version={} keys={}",
        fold.in_force().version,
        fold.newest().version,
        fold.keys().granted_count()
    );
    if let Some(fault) = fold.fault() {
        eprintln!(
            "version {} is not in force: {}",
            fault.version, fault.reason
        );
    }
    Ok(())
}
