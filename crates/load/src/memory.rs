use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use model::VmName;
use wire::{FleetSecret, LinkSettings, PeerLink};

use crate::fleet_plan::{KEY, VmPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::node_child::{FLEET_SECRET, cpu_us, resident_kb};

/// The numbers of connections and links at which memory is measured.
const COUNTS: [usize; 4] = [100, 250, 500, 1_000];
/// The size of a large body, in bytes.
const LARGE_BYTES: usize = 100 * 1024 * 1024;
/// The interval between two readings of the memory of nodes, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;
/// The duration of the measurement of idle links, in seconds.
const IDLE_MEASURE_S: u64 = 10;
/// The delay before a reading, in which the node becomes idle, in milliseconds.
const SETTLE_MS: u64 = 500;

/// Measures the resident memory of nodes: idle, and with connections, links and large bodies.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!("| run | state | entry node kB | other node kB |");
    println!("|---|---|---|---|");
    for run in 1..=repeats {
        let plans = [VmPlan::new("front"), VmPlan::new("deep")];
        let fleet = LoadFleet::start(&plans, false).await?;
        fleet.warm_up("/deep/read").await?;
        print_memory(&fleet, run, "idle")?;
        measure_bodies(&fleet, run).await?;
        measure_connections(&fleet, run).await?;
        measure_links(&fleet, run).await?;
    }
    Ok(())
}

fn print_memory(fleet: &LoadFleet, run: u32, state: &str) -> Result<(), LoadError> {
    let entry = fleet.nodes[0].resident_kb()?;
    let other = fleet.nodes[1].resident_kb()?;
    println!("| {run} | {state} | {entry} | {other} |");
    Ok(())
}

async fn measure_connections(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let mut connections = Vec::new();
    for count in COUNTS {
        while connections.len() < count {
            let mut connection = LoadConnection::open(fleet.caller_address(0)).await?;
            connection.get("/deep/read", KEY).await?;
            connections.push(connection);
        }
        sleep(Duration::from_millis(SETTLE_MS)).await;
        print_memory(
            fleet,
            run,
            &format!("{count} open connections to the entry node"),
        )?;
    }
    Ok(())
}

async fn measure_links(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let secret = FleetSecret::new(FLEET_SECRET)?;
    let address: SocketAddr = fleet.nodes[1].ports.ingress;
    let settings = LinkSettings::default();
    let before_kb = resident_kb("self")?;
    let mut links = Vec::new();
    for count in COUNTS {
        while links.len() < count {
            let name = VmName::new(format!("vm-{}", links.len()));
            let link = PeerLink::connect(address, &name, &secret, &settings);
            links.push(link.await?);
        }
        sleep(Duration::from_millis(SETTLE_MS)).await;
        let growth_kb = resident_kb("self")?.saturating_sub(before_kb);
        let state = format!(
            "{count} links to the other node ({growth_kb} kB more in the connecting process)"
        );
        print_memory(fleet, run, &state)?;
    }
    measure_idle_links(fleet, run, links.len()).await
}

/// Measures the processor time of idle links, in this process and in the node.
async fn measure_idle_links(fleet: &LoadFleet, run: u32, count: usize) -> Result<(), LoadError> {
    let before = [cpu_us("self")?, fleet.nodes[1].cpu_us()?];
    sleep(Duration::from_secs(IDLE_MEASURE_S)).await;
    let client_us = (cpu_us("self")? - before[0]) / IDLE_MEASURE_S;
    let server_us = (fleet.nodes[1].cpu_us()? - before[1]) / IDLE_MEASURE_S;
    let state = format!(
        "{count} idle links: {client_us} us/s in the connecting process, {server_us} us/s in the other node"
    );
    print_memory(fleet, run, &state)
}

/// The peak resident memory of two nodes, in kilobytes.
#[derive(Clone, Default)]
struct MemoryPeak(Rc<Cell<[u64; 2]>>);

async fn measure_bodies(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let mut connection = LoadConnection::open(fleet.caller_address(0)).await?;
    let download_path = format!("/deep/read?bytes={LARGE_BYTES}");
    let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let cases = [
        (
            "100 MiB download",
            "GET",
            download_path.as_str(),
            Bytes::new(),
        ),
        ("100 MiB upload", "PUT", "/deep/upload", body),
    ];
    for (name, method, path, body) in cases {
        let peak = MemoryPeak::default();
        let watched_send = futures_util::future::select(
            Box::pin(record_peak(fleet, peak.clone())),
            Box::pin(connection.send(method, path, KEY, body)),
        );
        let answer = match watched_send.await {
            futures_util::future::Either::Left((error, _)) => return Err(error),
            futures_util::future::Either::Right((answer, _)) => answer?,
        };
        let [entry, other] = peak.0.get();
        let (status, body_bytes, elapsed_ms) =
            (answer.status, answer.body_bytes, answer.elapsed.as_millis());
        println!(
            "| {run} | peak during {name} (status {status}, {body_bytes} bytes received, {elapsed_ms} ms) | {entry} | {other} |"
        );
    }
    Ok(())
}

/// Records the peak memory of both nodes until a reading fails, and returns that error.
async fn record_peak(fleet: &LoadFleet, peak: MemoryPeak) -> LoadError {
    loop {
        let entry = fleet.nodes[0].resident_kb();
        let other = fleet.nodes[1].resident_kb();
        match (entry, other) {
            (Ok(entry), Ok(other)) => {
                let [max_entry, max_other] = peak.0.get();
                peak.0.set([max_entry.max(entry), max_other.max(other)]);
            }
            (Err(error), _) | (_, Err(error)) => return error,
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}
