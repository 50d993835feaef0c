use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::time::sleep_until;
use hdrhistogram::Histogram;

use crate::fleet_plan::{KEY, VmPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::local_fleet::LocalFleet;

/// The target for the latency added by a path through two nodes at the 99th percentile, in
/// microseconds.
const TARGET_ADDED_US: u64 = 1_300;
/// The rounds per run; each round sends one request over each path.
const ROUNDS: u32 = 4_000;
/// The rounds before the measurement.
const WARM_UP_ROUNDS: u32 = 200;
/// The interval between two rounds, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 4;
/// The significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// The latencies of each path, and the latency that nodes add to the direct call of the same round,
/// in microseconds.
struct PathLatencies {
    direct: Histogram<u64>,
    one_node: Histogram<u64>,
    two_nodes: Histogram<u64>,
    one_node_added: Histogram<u64>,
    two_nodes_added: Histogram<u64>,
}

/// The open connections of the three paths.
struct PathConnections {
    direct: LoadConnection,
    one_node: LoadConnection,
    two_nodes: LoadConnection,
}

/// The addresses to which requests are sent for the three paths.
struct PathAddresses {
    direct: SocketAddr,
    one_node: SocketAddr,
    two_nodes: SocketAddr,
}

/// Measures the latency that paths through one and two nodes add to a direct call.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!("Target: two nodes add at most {TARGET_ADDED_US} us at the 99th percentile.\n");
    println!("| run | nodes as | path | median us | 99th us | 99.9th us | most us |");
    println!("|---|---|---|---|---|---|---|");
    let plans = [VmPlan::new("front"), VmPlan::new("deep")];
    let fleet = LoadFleet::start(&plans, false).await?;
    fleet.warm_up("/deep/read").await?;
    let addresses = PathAddresses {
        direct: fleet.standins.backends[1],
        one_node: fleet.caller_address(1),
        two_nodes: fleet.caller_address(0),
    };
    let local = LocalFleet::start(["front", "deep"]).await?;
    let local_addresses = PathAddresses {
        direct: local.backends[1].address(),
        one_node: local.nodes[1].caller_address(),
        two_nodes: local.nodes[0].caller_address(),
    };
    for run in 1..=repeats {
        measure_paths(&format!("{run} | processes"), &addresses).await?;
        measure_paths(
            &format!("{run} | one loop with the client"),
            &local_addresses,
        )
        .await?;
    }
    Ok(())
}

async fn measure_paths(run: &str, addresses: &PathAddresses) -> Result<(), LoadError> {
    let mut connections = PathConnections {
        direct: LoadConnection::open(addresses.direct).await?,
        one_node: LoadConnection::open(addresses.one_node).await?,
        two_nodes: LoadConnection::open(addresses.two_nodes).await?,
    };
    run_rounds(&mut connections, WARM_UP_ROUNDS).await?;
    let latencies = run_rounds(&mut connections, ROUNDS).await?;
    print_latencies(run, "direct", &latencies.direct);
    print_latencies(run, "one node", &latencies.one_node);
    print_latencies(run, "two nodes", &latencies.two_nodes);
    print_latencies(run, "added by one node", &latencies.one_node_added);
    print_latencies(run, "added by two nodes", &latencies.two_nodes_added);
    Ok(())
}

fn print_latencies(run: &str, path: &str, latencies: &Histogram<u64>) {
    println!(
        "| {run} | {path} | {} | {} | {} | {} |",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999),
        latencies.max(),
    );
}

async fn run_rounds(
    connections: &mut PathConnections,
    rounds: u32,
) -> Result<PathLatencies, LoadError> {
    let mut latencies = PathLatencies {
        direct: Histogram::new(HISTOGRAM_DIGITS)?,
        one_node: Histogram::new(HISTOGRAM_DIGITS)?,
        two_nodes: Histogram::new(HISTOGRAM_DIGITS)?,
        one_node_added: Histogram::new(HISTOGRAM_DIGITS)?,
        two_nodes_added: Histogram::new(HISTOGRAM_DIGITS)?,
    };
    let started = Instant::now();
    for round in 0..rounds {
        sleep_until(started + Duration::from_millis(ROUND_INTERVAL_MS) * round).await;
        let direct = send(&mut connections.direct, "/read").await?;
        let one_node = send(&mut connections.one_node, "/deep/read").await?;
        let two_nodes = send(&mut connections.two_nodes, "/deep/read").await?;
        latencies.direct.record(direct)?;
        latencies.one_node.record(one_node)?;
        latencies.two_nodes.record(two_nodes)?;
        latencies
            .one_node_added
            .record(one_node.saturating_sub(direct))?;
        latencies
            .two_nodes_added
            .record(two_nodes.saturating_sub(direct))?;
    }
    Ok(latencies)
}

/// Sends a request and returns the time until the whole answer arrived, in microseconds.
async fn send(connection: &mut LoadConnection, path: &str) -> Result<u64, LoadError> {
    let answer = connection.get(path, KEY).await?;
    if answer.status != 200 {
        return Err(format!("\"{path}\" was answered with status {}", answer.status).into());
    }
    Ok(u64::try_from(answer.elapsed.as_micros())?)
}
