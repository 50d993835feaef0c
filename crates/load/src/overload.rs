use std::time::Duration;

use compio::runtime::spawn;
use compio::time::sleep;

use crate::fleet_plan::{KEY, OTHER_KEY, PairPlan};
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::open_load::{LoadPhase, LoadTally, OpenLoad};

/// The slots of each backend server of the deep service.
const DEEP_SLOTS: u32 = 4;
/// The time that a request runs at the deep service, in milliseconds.
const DEEP_MS: u64 = 20;
/// The whole requests per second that the deep service's two backend servers can serve.
const CAPACITY_PER_S: u64 = 400;
/// The seconds before, during and after the cause of overload.
const PHASES_S: [u64; 3] = [5, 10, 8];
/// The share of normal goodput that counts as recovered.
const RECOVERED: f64 = 0.95;

/// Measures goodput and recovery time on the worst cases, scaled down.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "Chain of two services, two backend servers each; the deep one serves {CAPACITY_PER_S}/s.\n"
    );
    println!(
        "| run | case | goodput before, of what was sent | goodput during, of what the deep service can serve | sends per request | recovered after s |"
    );
    println!("|---|---|---|---|---|---|");
    for run in 1..=repeats {
        demand(run, 2).await?;
        demand(run, 5).await?;
        slow_service(run).await?;
        greedy_team(run).await?;
    }
    Ok(())
}

async fn start() -> Result<LoadFleet, LoadError> {
    let front = PairPlan {
        calls: Some("/deep/read"),
        ..PairPlan::new("front")
    };
    let deep = PairPlan {
        slots: DEEP_SLOTS,
        run_ms: DEEP_MS,
        ..PairPlan::new("deep")
    };
    let plans = [front.clone(), front, deep.clone(), deep];
    let fleet = LoadFleet::start(&plans, false).await?;
    fleet.warm_up("/front/read").await?;
    Ok(fleet)
}

fn load(fleet: &LoadFleet, key: &'static str, retries_hard: bool) -> OpenLoad {
    let entries = (0..fleet.nodes.len()).map(|node| fleet.callers(node));
    OpenLoad::new(entries.collect(), "/front/read", key, retries_hard)
}

/// Returns phases with a rate before and after, and another during the cause.
fn phases(normal: u64, during: u64) -> [LoadPhase; 3] {
    let rates = [normal, during, normal];
    [0, 1, 2].map(|phase| LoadPhase {
        span_s: PHASES_S[phase],
        requests_per_s: rates[phase],
    })
}

async fn demand(run: u32, times: u64) -> Result<(), LoadError> {
    let fleet = start().await?;
    let phases = phases(CAPACITY_PER_S / 2, CAPACITY_PER_S * times);
    let tally = load(&fleet, KEY, false).run(&phases).await;
    print_tally(
        run,
        &format!("demand at {times} times"),
        &tally,
        CAPACITY_PER_S,
    );
    Ok(())
}

async fn slow_service(run: u32) -> Result<(), LoadError> {
    let fleet = start().await?;
    let normal = CAPACITY_PER_S * 4 / 5;
    let load = load(&fleet, KEY, true);
    let phases = phases(normal, normal);
    let running = spawn(async move { load.run(&phases).await });
    sleep(Duration::from_secs(PHASES_S[0])).await;
    set_deep_ms(&fleet, DEEP_MS * 5);
    sleep(Duration::from_secs(PHASES_S[1])).await;
    set_deep_ms(&fleet, DEEP_MS);
    let tally = running.await.map_err(|_| "the load ended early")?;
    let case = "deep service at a fifth, callers retry hard";
    print_tally(run, case, &tally, CAPACITY_PER_S / 5);
    Ok(())
}

fn set_deep_ms(fleet: &LoadFleet, run_ms: u64) {
    for backend in [2, 3] {
        fleet.standins.set_run_ms(backend, run_ms);
    }
}

/// One team sends 8 times its rate while another stays within its own.
async fn greedy_team(run: u32) -> Result<(), LoadError> {
    let fleet = start().await?;
    let [small, greedy] = [load(&fleet, KEY, false), load(&fleet, OTHER_KEY, false)];
    let steady = phases(CAPACITY_PER_S / 2, CAPACITY_PER_S / 2);
    let surge = phases(50, 800);
    let other = spawn(async move { greedy.run(&surge).await });
    let tally = small.run(&steady).await;
    let greedy = other.await.map_err(|_| "the load ended early")?;
    let case = "another team at 8 times its rate of 100/s; this one within its own";
    print_tally(run, case, &tally, CAPACITY_PER_S / 2);
    print_tally(run, "that other team", &greedy, 100);
    Ok(())
}

fn print_tally(run: u32, case: &str, tally: &LoadTally, capacity_per_s: u64) {
    let [before, during, after] = PHASES_S;
    let sent = f64::from(tally.sent_in(1, before));
    let normal = f64::from(tally.good_in(1, before)) / sent;
    let end = before + during;
    let span_s = f64::from(u32::try_from(during).unwrap_or(1));
    let capacity = f64::from(u32::try_from(capacity_per_s).unwrap_or(1));
    let goodput = f64::from(tally.good_in(before, end)) / span_s / capacity;
    let recovered = (end..end + after).find(|second| {
        let sent = f64::from(tally.sent_in(*second, second + 1));
        f64::from(tally.good_in(*second, second + 1)) >= RECOVERED * normal * sent
    });
    let recovered = recovered.map_or("not within the run".to_owned(), |second| {
        format!("{} to {}", second - end, second - end + 1)
    });
    let sends = f64::from(tally.sends) / f64::from(tally.sent_in(0, end + after).max(1));
    println!("| {run} | {case} | {normal:.3} | {goodput:.3} | {sends:.2} | {recovered} |");
}
