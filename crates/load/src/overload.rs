use std::time::Duration;

use compio::runtime::spawn;
use compio::time::sleep;

use crate::fleet_plan::{KEY, OTHER_KEY, VmPlan};
use crate::load_error::LoadError;
use crate::load_fleet::LoadFleet;
use crate::open_load::{LoadPhase, LoadTally, OpenLoad};

/// The slots of each backend server of the deep service.
const DEEP_SLOTS: u32 = 4;
/// The processing time of a request at the deep service, in milliseconds.
const DEEP_RUN_MS: u64 = 20;
/// The requests per second that the two backend servers of the deep service can serve: 2 servers *
/// 4 slots / 20 ms.
const CAPACITY_PER_S: u64 = 400;
/// The durations before, during and after the overload, in seconds.
const PHASE_DURATIONS_S: [u64; 3] = [5, 10, 8];
/// The fraction of the goodput before the overload from which the system counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// Measures goodput and recovery time in scaled-down versions of the worst cases.
pub(crate) async fn measure(repeats: u32) -> Result<(), LoadError> {
    println!(
        "Chain of two services, two backend servers each; the deep one serves {CAPACITY_PER_S}/s.\n"
    );
    println!(
        "| run | case | goodput before, of what was sent | goodput during, of what the deep service can serve | sends per request | recovered after s |"
    );
    println!("|---|---|---|---|---|---|");
    for run in 1..=repeats {
        measure_demand(run, 2).await?;
        measure_demand(run, 5).await?;
        measure_slow_service(run).await?;
        measure_greedy_team(run).await?;
    }
    Ok(())
}

async fn start_fleet() -> Result<LoadFleet, LoadError> {
    let front = VmPlan {
        nested_path: Some("/deep/read"),
        ..VmPlan::new("front")
    };
    let deep = VmPlan {
        slots: DEEP_SLOTS,
        run_ms: DEEP_RUN_MS,
        ..VmPlan::new("deep")
    };
    let plans = [front.clone(), front, deep.clone(), deep];
    let fleet = LoadFleet::start(&plans, false).await?;
    fleet.warm_up("/front/read").await?;
    Ok(fleet)
}

fn load(fleet: &LoadFleet, key: &'static str, retries_aggressively: bool) -> OpenLoad {
    let entries = (0..fleet.nodes.len()).map(|node| fleet.caller_address(node));
    OpenLoad::new(entries.collect(), "/front/read", key, retries_aggressively)
}

/// Returns phases with one rate before and after the overload and another during it.
fn phases(normal: u64, during: u64) -> [LoadPhase; 3] {
    let rates = [normal, during, normal];
    [0, 1, 2].map(|phase| LoadPhase {
        duration_s: PHASE_DURATIONS_S[phase],
        requests_per_s: rates[phase],
    })
}

async fn measure_demand(run: u32, times: u64) -> Result<(), LoadError> {
    let fleet = start_fleet().await?;
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

async fn measure_slow_service(run: u32) -> Result<(), LoadError> {
    let fleet = start_fleet().await?;
    let normal = CAPACITY_PER_S * 4 / 5;
    let load = load(&fleet, KEY, true);
    let phases = phases(normal, normal);
    let running = spawn(async move { load.run(&phases).await });
    sleep(Duration::from_secs(PHASE_DURATIONS_S[0])).await;
    set_deep_run_ms(&fleet, DEEP_RUN_MS * 5);
    sleep(Duration::from_secs(PHASE_DURATIONS_S[1])).await;
    set_deep_run_ms(&fleet, DEEP_RUN_MS);
    let tally = running.await.map_err(|_| "the load ended early")?;
    let case = "deep service at a fifth of its speed, callers retry aggressively";
    print_tally(run, case, &tally, CAPACITY_PER_S / 5);
    Ok(())
}

fn set_deep_run_ms(fleet: &LoadFleet, run_ms: u64) {
    for backend in [2, 3] {
        fleet.standins.set_run_ms(backend, run_ms);
    }
}

/// Measures one team that stays within its rate while another sends 8 times its own.
async fn measure_greedy_team(run: u32) -> Result<(), LoadError> {
    let fleet = start_fleet().await?;
    let [steady_load, greedy_load] = [load(&fleet, KEY, false), load(&fleet, OTHER_KEY, false)];
    let steady_phases = phases(CAPACITY_PER_S / 2, CAPACITY_PER_S / 2);
    let greedy_phases = phases(50, 800);
    let greedy_task = spawn(async move { greedy_load.run(&greedy_phases).await });
    let tally = steady_load.run(&steady_phases).await;
    let greedy_tally = greedy_task.await.map_err(|_| "the load ended early")?;
    let case = "another team at 8 times its rate of 100/s; this one within its own";
    print_tally(run, case, &tally, CAPACITY_PER_S / 2);
    print_tally(run, "the team at 8 times its rate", &greedy_tally, 100);
    Ok(())
}

fn print_tally(run: u32, case: &str, tally: &LoadTally, capacity_per_s: u64) {
    let [before, during, after] = PHASE_DURATIONS_S;
    let sent = f64::from(tally.sent_in(1, before));
    let normal = f64::from(tally.served_in(1, before)) / sent;
    let end = before + during;
    let during_s = f64::from(u32::try_from(during).unwrap_or(1));
    let capacity = f64::from(u32::try_from(capacity_per_s).unwrap_or(1));
    let goodput = f64::from(tally.served_in(before, end)) / during_s / capacity;
    let recovered = (end..end + after).find(|second| {
        let sent = f64::from(tally.sent_in(*second, second + 1));
        f64::from(tally.served_in(*second, second + 1)) >= RECOVERED_FRACTION * normal * sent
    });
    let recovered = recovered.map_or("not within the run".to_owned(), |second| {
        format!("{} to {}", second - end, second - end + 1)
    });
    let sends = f64::from(tally.sends) / f64::from(tally.sent_in(0, end + after).max(1));
    println!("| {run} | {case} | {normal:.3} | {goodput:.3} | {sends:.2} | {recovered} |");
}
