use std::net::SocketAddr;

use streams::{ConfigRecord, ConfigVersion, RecordOutcome};

use crate::args::PublishArgs;
use crate::command_error::CommandError;
use crate::commands::contract_file::ContractFile;
use crate::config_client::ConfigClient;
use crate::setting_reader::SettingReader;

/// Publishes a contract text that is based on a given version.
pub(crate) async fn run_publish(args: &PublishArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let file: Option<String> = reader.argument("FILE", args.file.as_deref());
    let base: Option<u64> = reader.required("base", args.base.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let settings = file.zip(base).zip(platform);
    let ((file, base), platform) = reader.finish(settings)?;

    let file = ContractFile::read(&file)?;
    let mut client = ConfigClient::connect(platform).await?;
    let record = publish_record(&client, ConfigVersion::new(base), &file.text)?;
    let advice = "check the version in force with: lentilshift show";
    let outcome = client.submit(&record, advice).await?;
    println!("{outcome}");
    Ok(())
}

/// Creates the record to append; fails when its base is already stale.
fn publish_record(
    client: &ConfigClient,
    base: ConfigVersion,
    text: &str,
) -> Result<ConfigRecord, CommandError> {
    let newest = client.fold().newest();
    if newest.version != base {
        let now = newest.version;
        return Err(CommandError::Rejected(RecordOutcome::Stale { base, now }));
    }
    Ok(ConfigRecord::publish(base, &newest.text, text))
}
