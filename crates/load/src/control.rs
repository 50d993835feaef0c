use std::time::{Duration, Instant};

use compio::time::sleep;

use crate::fleet_plan::PairPlan;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::node_child::NodeChild;

/// The sizes of the fleet.
const SIZES: [usize; 4] = [4, 16, 64, 128];
/// The time that a fleet has to come to rest, in seconds.
const REST_S: u64 = 5;
/// The time over which the cost is measured, in seconds.
const SPAN_S: u64 = 15;

/// Measures what an idle node costs, by size of the fleet.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "| run | nodes | settled after s | % of a core each | bytes/s each between nodes, sent and received | bytes/s each to and from the log | log records/s of the fleet | most kB of a node |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for run in 1..=repeats {
        for size in SIZES {
            measure_size(run, size).await?;
        }
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "shares of small counts")]
async fn measure_size(run: u32, size: usize) -> Result<(), LoadError> {
    let services = ["front", "deep"];
    let plans = (0..size).map(|index| PairPlan::new(services[index % services.len()]));
    let plans: Vec<PairPlan> = plans.collect();
    let started = Instant::now();
    let fleet = LoadFleet::start(&plans, true).await?;
    let settled_s = started.elapsed().as_secs_f64();
    sleep(Duration::from_secs(REST_S)).await;
    let started = Instant::now();
    let cpu_us = fleet.cpu_us()?;
    let (peer, log) = (fleet.peer_bytes.get(), fleet.log_bytes.get());
    let appended = fleet.appended().await?;
    sleep(Duration::from_secs(SPAN_S)).await;
    let span_s = started.elapsed().as_secs_f64();
    let per_node = |count: u64| count as f64 / span_s / size as f64;
    let share = per_node(fleet.cpu_us()? - cpu_us) / 1e6 * 100.0;
    let peer = 2.0 * per_node(fleet.peer_bytes.get() - peer);
    let log = per_node(fleet.log_bytes.get() - log);
    let records = (fleet.appended().await? - appended) as f64 / span_s;
    let memory = fleet.nodes.iter().map(NodeChild::resident_kb);
    let most_kb = memory.filter_map(Result::ok).max().unwrap_or(0);
    println!(
        "| {run} | {size} | {settled_s:.1} | {share:.3} | {peer:.0} | {log:.0} | {records:.2} | {most_kb} |"
    );
    Ok(())
}
