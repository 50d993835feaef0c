use std::net::SocketAddr;

use model::CentreName;
use streams::ConfigRecord;

use crate::args::EvacuateArgs;
use crate::command_error::CommandError;
use crate::config_client::ConfigClient;
use crate::setting_reader::SettingReader;

/// Begins or ends the evacuation of a data centre.
pub(crate) async fn run_evacuate(args: &EvacuateArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let centre: Option<CentreName> = reader.argument("CENTRE", args.centre.as_deref());
    let platform: Option<SocketAddr> = reader.required("platform", args.platform.as_deref());
    let (centre, platform) = reader.finish(centre.zip(platform))?;

    let mut client = ConfigClient::connect(platform).await?;
    let record = ConfigRecord::Evacuate {
        centre,
        is_evacuated: !args.end,
    };
    let outcome = client.submit(&record, "run the same command again").await?;
    println!("{outcome}");
    Ok(())
}
