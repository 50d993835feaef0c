use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use model::VmName;
use wire::{FleetSecret, LinkSettings, PeerLink};

use crate::fleet_plan::{KEY, PairPlan};
use crate::load_client::LoadConnection;
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::node_child::{SECRET, resident_kb};

/// The sizes at which connections and links are counted.
const COUNTS: [usize; 4] = [100, 250, 500, 1_000];
/// The size of a large body, in bytes.
const LARGE_BYTES: usize = 100 * 1024 * 1024;
/// The time between two looks at a node's memory, in milliseconds.
const LOOK_MS: u64 = 10;
/// The time that a node has to come to rest, in milliseconds.
const REST_MS: u64 = 500;

/// Measures the memory of nodes.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!("| run | state | entry node kB | other node kB |");
    println!("|---|---|---|---|");
    for run in 1..=repeats {
        let plans = [PairPlan::new("front"), PairPlan::new("deep")];
        let fleet = LoadFleet::start(&plans, false).await?;
        fleet.warm_up("/deep/read").await?;
        print_now(&fleet, run, "idle")?;
        measure_bodies(&fleet, run).await?;
        measure_connections(&fleet, run).await?;
        measure_links(&fleet, run).await?;
    }
    Ok(())
}

fn print_now(fleet: &LoadFleet, run: u32, state: &str) -> Result<(), LoadError> {
    let entry = fleet.nodes[0].resident_kb()?;
    let other = fleet.nodes[1].resident_kb()?;
    println!("| {run} | {state} | {entry} | {other} |");
    Ok(())
}

async fn measure_connections(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let mut connections = Vec::new();
    for count in COUNTS {
        while connections.len() < count {
            let mut connection = LoadConnection::open(fleet.callers(0)).await?;
            connection.get("/deep/read", KEY).await?;
            connections.push(connection);
        }
        sleep(Duration::from_millis(REST_MS)).await;
        print_now(
            fleet,
            run,
            &format!("{count} open connections to the entry node"),
        )?;
    }
    Ok(())
}

async fn measure_links(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let secret = FleetSecret::new(SECRET)?;
    let address: SocketAddr = fleet.nodes[1].ports.ingress;
    let settings = LinkSettings::default();
    let own_before = resident_kb("self")?;
    let mut links = Vec::new();
    for count in COUNTS {
        while links.len() < count {
            let name = VmName::new(format!("vm-{}", links.len()));
            let link = PeerLink::connect(address, &name, &secret, &settings);
            links.push(link.await?);
        }
        sleep(Duration::from_millis(REST_MS)).await;
        let own = resident_kb("self")?.saturating_sub(own_before);
        let state = format!("{count} links to the other node ({own} kB more at their near ends)");
        print_now(fleet, run, &state)?;
    }
    Ok(())
}

/// The most memory that two nodes had.
#[derive(Clone, Default)]
struct MemoryPeak(Rc<Cell<[u64; 2]>>);

async fn measure_bodies(fleet: &LoadFleet, run: u32) -> Result<(), LoadError> {
    let mut connection = LoadConnection::open(fleet.callers(0)).await?;
    let down = format!("/deep/read?bytes={LARGE_BYTES}");
    let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let cases = [
        ("100 MiB down", "GET", down.as_str(), Bytes::new()),
        ("100 MiB up", "PUT", "/deep/upload", body),
    ];
    for (name, method, path, body) in cases {
        let peak = MemoryPeak::default();
        let looking = futures_util::future::select(
            Box::pin(watch(fleet, peak.clone())),
            Box::pin(connection.send(method, path, KEY, body)),
        );
        let answer = match looking.await {
            futures_util::future::Either::Left((error, _)) => return Err(error),
            futures_util::future::Either::Right((answer, _)) => answer?,
        };
        let [entry, other] = peak.0.get();
        let (status, bytes, span) = (answer.status, answer.body_bytes, answer.took.as_millis());
        println!(
            "| {run} | most during {name} (status {status}, {bytes} bytes back, {span} ms) | {entry} | {other} |"
        );
    }
    Ok(())
}

/// Looks at the nodes' memory until it can't.
async fn watch(fleet: &LoadFleet, peak: MemoryPeak) -> LoadError {
    loop {
        let entry = fleet.nodes[0].resident_kb();
        let other = fleet.nodes[1].resident_kb();
        match (entry, other) {
            (Ok(entry), Ok(other)) => {
                let [most_entry, most_other] = peak.0.get();
                peak.0.set([most_entry.max(entry), most_other.max(other)]);
            }
            (Err(error), _) | (_, Err(error)) => return error,
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}
