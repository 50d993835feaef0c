use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::fleet_plan::{KEY, VmPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;

/// The duration of a run, in seconds.
const RUN_DURATION_S: u32 = 3;

/// Measures requests per second and processor time per request with a closed loop of clients.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    let plans = [VmPlan::new("front"), VmPlan::new("deep")];
    let fleet = LoadFleet::start(&plans, false).await?;
    fleet.warm_up("/deep/read").await?;
    println!(
        "| run | entry | connections | requests/s | entry node us/request | other node us/request | requests/s per core of nodes |"
    );
    println!("|---|---|---|---|---|---|---|");
    for run in 1..=repeats {
        for connections in [1, 8, 64] {
            measure_entry(&fleet, run, 1, connections).await?;
            measure_entry(&fleet, run, 0, connections).await?;
        }
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "shares of small counts")]
async fn measure_entry(
    fleet: &LoadFleet,
    run: u32,
    entry: usize,
    connections: u32,
) -> Result<(), LoadError> {
    let before = [fleet.nodes[0].cpu_us()?, fleet.nodes[1].cpu_us()?];
    let started = Instant::now();
    let served = run_closed_loop(fleet, entry, connections).await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_since_start_us = |node: usize| -> Result<f64, LoadError> {
        Ok((fleet.nodes[node].cpu_us()? - before[node]) as f64)
    };
    let served = served as f64;
    let (entry_us, other_us) = (
        cpu_since_start_us(entry)? / served,
        cpu_since_start_us(1 - entry)? / served,
    );
    let path = if entry == 1 { "one node" } else { "two nodes" };
    println!(
        "| {run} | {path} | {connections} | {:.0} | {entry_us:.0} | {other_us:.0} | {:.0} |",
        served / elapsed_s,
        1e6 / (entry_us + other_us),
    );
    Ok(())
}

/// Sends requests one after another over each of `connections` connections and returns the number
/// of requests served.
async fn run_closed_loop(
    fleet: &LoadFleet,
    entry: usize,
    connections: u32,
) -> Result<u64, LoadError> {
    let served = Rc::new(Cell::new(0));
    let end = Instant::now() + Duration::from_secs(RUN_DURATION_S.into());
    let mut tasks = Vec::new();
    for _ in 0..connections {
        let mut connection = LoadConnection::open(fleet.caller_address(entry)).await?;
        let served = Rc::clone(&served);
        tasks.push(async move {
            while Instant::now() < end {
                let answer = connection.get("/deep/read", KEY).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    served.set(served.get() + 1);
                }
            }
        });
    }
    futures_util::future::join_all(tasks).await;
    Ok(served.get())
}
