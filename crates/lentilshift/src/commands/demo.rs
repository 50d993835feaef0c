use crate::args::DemoArgs;
use crate::command_error::CommandError;
use crate::commands::node::wait_for_stop;
use crate::demo::{
    DemoError, DemoFleet, DemoRow, EAGER_TEAM, STEADY_TEAM, print_addresses, print_rows,
    print_stay, run_steps, stop_node,
};
use crate::setting_reader::SettingReader;

/// Runs a small fleet in this process and shows what it does.
pub(crate) async fn run_demo(args: &DemoArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let stay = reader.switch("stay", args.stay);
    let stay = reader.finish(Some(stay))?;

    let fleet = DemoFleet::start().await?;
    print_addresses(&fleet);
    let steady_key = fleet.grant(STEADY_TEAM).await?;
    let eager_key = fleet.grant(EAGER_TEAM).await?;
    let mut rows = run_steps(&fleet, &steady_key, &eager_key).await?;
    if !stay {
        rows.push(stop_node(&fleet, &steady_key).await?);
    }
    print_rows(&rows);
    let seen = fleet.count_seen(&[&steady_key, &eager_key]);
    println!(
        "The backend servers ran {} requests and saw a key in {} of them.",
        seen.requests, seen.with_key
    );
    check_promises(&rows, seen.with_key)?;
    if stay {
        print_stay(&fleet, &steady_key, &eager_key);
        wait_for_stop().await;
        fleet.stop().await;
    } else {
        println!("Run it with --stay to try it yourself.");
    }
    Ok(())
}

/// Fails with the first thing that wasn't as promised.
fn check_promises(rows: &[DemoRow], with_key: usize) -> Result<(), DemoError> {
    if let Some(row) = rows.iter().find(|row| !row.is_as_promised) {
        return Err(DemoError::BrokenPromise(row.what.to_owned()));
    }
    if with_key > 0 {
        let what = "a backend server saw a caller's key";
        return Err(DemoError::BrokenPromise(what.to_owned()));
    }
    Ok(())
}
