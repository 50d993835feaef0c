use std::time::{Duration, Instant};

use compio::time::sleep;

use crate::fleet_plan::VmPlan;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::node_child::NodeChild;

/// The numbers of nodes to measure.
const FLEET_SIZES: [usize; 4] = [4, 16, 64, 128];
/// The delay before the measurement, in which a started fleet becomes idle, in seconds.
const SETTLE_S: u64 = 3;
/// The duration of the measurement, in seconds.
const MEASURE_S: u64 = 8;

/// Measures the processor time, traffic and memory of idle nodes, by number of nodes.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "| run | nodes | settled after s | % of a core each | bytes/s each between nodes, sent and received | bytes/s each to and from the log | log records/s of the fleet | most kB of a node |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for run in 1..=repeats {
        for size in FLEET_SIZES {
            measure_size(run, size).await?;
        }
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "shares of small counts")]
async fn measure_size(run: u32, size: usize) -> Result<(), LoadError> {
    let services = ["front", "deep"];
    let plans = (0..size).map(|index| VmPlan::new(services[index % services.len()]));
    let plans: Vec<VmPlan> = plans.collect();
    let started = Instant::now();
    let fleet = LoadFleet::start(&plans, true).await?;
    let settled_s = started.elapsed().as_secs_f64();
    sleep(Duration::from_secs(SETTLE_S)).await;
    let started = Instant::now();
    let cpu_us = fleet.cpu_us()?;
    let (peer_bytes, log_bytes) = (fleet.peer_bytes.get(), fleet.log_bytes.get());
    let appended_records = fleet.appended_records().await?;
    sleep(Duration::from_secs(MEASURE_S)).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let per_node = |count: u64| count as f64 / elapsed_s / size as f64;
    let cpu_percent = per_node(fleet.cpu_us()? - cpu_us) / 1e6 * 100.0;
    let peer_bytes = 2.0 * per_node(fleet.peer_bytes.get() - peer_bytes);
    let log_bytes = per_node(fleet.log_bytes.get() - log_bytes);
    let records_per_s = (fleet.appended_records().await? - appended_records) as f64 / elapsed_s;
    let memory = fleet.nodes.iter().map(NodeChild::resident_kb);
    let max_memory_kb = memory.filter_map(Result::ok).max().unwrap_or(0);
    println!(
        "| {run} | {size} | {settled_s:.1} | {cpu_percent:.3} | {peer_bytes:.0} | {log_bytes:.0} | {records_per_s:.2} | {max_memory_kb} |"
    );
    Ok(())
}
