use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use cyper::Client;

use crate::args::DumpArgs;
use crate::command_error::CommandError;
use crate::setting_reader::SettingReader;

/// The timeout of a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the state of a node.
pub(crate) async fn run_dump(args: &DumpArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let address = reader.argument("ADDRESS", args.address.as_deref());
    let address: SocketAddr = reader.finish(address)?;

    let client = Client::builder().no_proxy().build()?;
    let answer = timeout(DUMP_TIMEOUT, get_dump(&client, address)).await;
    let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let dump = answer.map_err(|reason| CommandError::NoDump { address, reason })?;
    println!("{dump}");
    Ok(())
}

async fn get_dump(client: &Client, address: SocketAddr) -> Result<String, String> {
    let request = client.get(format!("http://{address}/dump"));
    let request = request.map_err(|error| error.to_string())?;
    let response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("it answered {}", response.status()));
    }
    response.text().await.map_err(|error| error.to_string())
}
