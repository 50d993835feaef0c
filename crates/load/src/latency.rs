use std::time::{Duration, Instant};

use compio::time::sleep_until;
use hdrhistogram::Histogram;

use crate::fleet_plan::{KEY, PairPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;

/// The most that a two-node path may add at the 99th percentile, in microseconds.
const TARGET_US: u64 = 1_300;
/// The rounds of a run; each sends one request over each path.
const ROUNDS: u32 = 4_000;
/// The rounds that warm the paths up.
const WARM_ROUNDS: u32 = 200;
/// The time between two rounds, in milliseconds.
const ROUND_MS: u64 = 4;
/// The significant digits of the histograms.
const DIGITS: u8 = 3;

/// Spans in microseconds, of each path, and what nodes add in the same round.
struct PathSpans {
    direct: Histogram<u64>,
    one_node: Histogram<u64>,
    two_nodes: Histogram<u64>,
    one_added: Histogram<u64>,
    two_added: Histogram<u64>,
}

/// The open connections of the three paths.
struct PathConnections {
    direct: LoadConnection,
    one_node: LoadConnection,
    two_nodes: LoadConnection,
}

/// Measures the latency that paths through nodes add to a direct call.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!("Target: two nodes add at most {TARGET_US} us at the 99th percentile.\n");
    let plans = [PairPlan::new("front"), PairPlan::new("deep")];
    let fleet = LoadFleet::start(&plans, false).await?;
    fleet.warm_up("/deep/read").await?;
    println!("| run | path | median us | 99th us | 99.9th us | most us |");
    println!("|---|---|---|---|---|---|");
    for run in 1..=repeats {
        let mut connections = PathConnections {
            direct: LoadConnection::open(fleet.standins.backends[1]).await?,
            one_node: LoadConnection::open(fleet.callers(1)).await?,
            two_nodes: LoadConnection::open(fleet.callers(0)).await?,
        };
        run_rounds(&mut connections, WARM_ROUNDS).await?;
        let spans = run_rounds(&mut connections, ROUNDS).await?;
        print_spans(run, "direct", &spans.direct);
        print_spans(run, "one node", &spans.one_node);
        print_spans(run, "two nodes", &spans.two_nodes);
        print_spans(run, "added by one node", &spans.one_added);
        print_spans(run, "added by two nodes", &spans.two_added);
    }
    Ok(())
}

fn print_spans(run: u32, path: &str, spans: &Histogram<u64>) {
    println!(
        "| {run} | {path} | {} | {} | {} | {} |",
        spans.value_at_quantile(0.5),
        spans.value_at_quantile(0.99),
        spans.value_at_quantile(0.999),
        spans.max(),
    );
}

async fn run_rounds(
    connections: &mut PathConnections,
    rounds: u32,
) -> Result<PathSpans, LoadError> {
    let mut spans = PathSpans {
        direct: Histogram::new(DIGITS)?,
        one_node: Histogram::new(DIGITS)?,
        two_nodes: Histogram::new(DIGITS)?,
        one_added: Histogram::new(DIGITS)?,
        two_added: Histogram::new(DIGITS)?,
    };
    let started = Instant::now();
    for round in 0..rounds {
        sleep_until(started + Duration::from_millis(ROUND_MS) * round).await;
        let direct = send(&mut connections.direct, "/read").await?;
        let one_node = send(&mut connections.one_node, "/deep/read").await?;
        let two_nodes = send(&mut connections.two_nodes, "/deep/read").await?;
        spans.direct.record(direct)?;
        spans.one_node.record(one_node)?;
        spans.two_nodes.record(two_nodes)?;
        spans.one_added.record(one_node.saturating_sub(direct))?;
        spans.two_added.record(two_nodes.saturating_sub(direct))?;
    }
    Ok(spans)
}

/// Sends a request and returns the time until its whole answer came, in microseconds.
async fn send(connection: &mut LoadConnection, path: &str) -> Result<u64, LoadError> {
    let answer = connection.get(path, KEY).await?;
    if answer.status != 200 {
        return Err(format!("\"{path}\" was answered with status {}", answer.status).into());
    }
    Ok(u64::try_from(answer.took.as_micros())?)
}
