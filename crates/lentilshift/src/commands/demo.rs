use crate::args::DemoArgs;
use crate::command_error::CommandError;
use crate::demo::{
    DemoError, DemoFleet, DemoRow, OVER_RATE_TEAM, STEADY_TEAM, print_addresses,
    print_instructions, print_rows, run_steps, stop_node,
};
use crate::process_signals::SignalListener;
use crate::setting_reader::SettingReader;

/// Runs a small fleet in this process and shows how it handles requests.
pub(crate) async fn run_demo(args: &DemoArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let stay = reader.switch("stay", args.stay);
    let stay = reader.finish(Some(stay))?;

    let fleet = DemoFleet::start().await?;
    print_addresses(&fleet);
    let steady_key = fleet.grant(STEADY_TEAM).await?;
    let over_rate_key = fleet.grant(OVER_RATE_TEAM).await?;
    let mut rows = run_steps(&fleet, &steady_key, &over_rate_key).await?;
    if !stay {
        rows.push(stop_node(&fleet, &steady_key).await?);
    }
    print_rows(&rows);
    let requests = fleet.count_requests(&[&steady_key, &over_rate_key]);
    println!(
        "The backend servers ran {} requests and saw a key in {} of them.",
        requests.total, requests.with_key
    );
    check_results(&rows, requests.with_key)?;
    if stay {
        let signals = SignalListener::install().map_err(CommandError::Signals)?;
        print_instructions(&fleet, &steady_key, &over_rate_key);
        signals.stop.wait().await;
        fleet.stop().await;
    } else {
        println!("Run it with --stay to try it yourself.");
    }
    Ok(())
}

/// Returns an error for the first result that wasn't as expected.
fn check_results(rows: &[DemoRow], with_key: usize) -> Result<(), DemoError> {
    if let Some(row) = rows.iter().find(|row| !row.is_as_expected) {
        return Err(DemoError::UnexpectedResult(row.label.to_owned()));
    }
    if with_key > 0 {
        let label = "a backend server saw a caller's key";
        return Err(DemoError::UnexpectedResult(label.to_owned()));
    }
    Ok(())
}
