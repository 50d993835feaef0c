use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use compio::time::{sleep, timeout};
use futures_util::future::{join, try_join_all};
use http::Method;

use crate::command_error::CommandError;
use crate::demo::caller_connection::CallerAnswer;
use crate::demo::demo_contract::{OVER_RATE_TEAM, STEADY_TEAM, max_served};
use crate::demo::demo_row::DemoRow;
use crate::demo::{DemoCaller, DemoError, DemoFleet};

/// The number of look-ups sent through each node.
const LOOK_UPS_PER_NODE: usize = 10;
/// The number of requests that the team that exceeds its rate sends at once.
const OVER_RATE_REQUESTS: usize = 60;
/// The number of requests of the overload.
const OVERLOAD_REQUESTS: usize = 600;
/// The interval of the requests of the overload, in milliseconds.
const OVERLOAD_INTERVAL_MS: u64 = 3;
/// One in this many requests of the overload is critical.
const CRITICAL_INTERVAL: usize = 4;
/// The time within which a withdrawn key has to be refused, in milliseconds.
const WITHDRAW_LIMIT_MS: u64 = 5_000;
/// The interval of requests that check whether a key is accepted, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 10;
/// The delay after which a node is stopped while it runs a request, in milliseconds.
const STOP_DELAY_MS: u64 = 200;

/// Sends the requests of the demo and returns the rows of the result table.
pub(crate) async fn run_steps(
    fleet: &DemoFleet,
    steady_key: &str,
    over_rate_key: &str,
) -> Result<Vec<DemoRow>, CommandError> {
    warm_up(fleet, steady_key).await?;
    let mut rows = vec![
        look_up(fleet, steady_key).await?,
        send_without_key(fleet).await?,
        send_open_call(fleet).await?,
        send_unknown_call(fleet, steady_key).await?,
        charge_twice(fleet, steady_key).await?,
        charge_without_idempotency_key(fleet, steady_key).await?,
        exceed_rate(fleet, over_rate_key).await?,
    ];
    rows.extend(overload(fleet, steady_key).await?);
    rows.push(withdraw_key(fleet).await?);
    Ok(rows)
}

/// Stops a node while its backend server runs a request.
pub(crate) async fn stop_node(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let vm = &fleet.vms[0];
    let mut caller = DemoCaller::connect(vm.node.caller_address()).await?;
    caller = caller.with_key(key);
    let sending = caller.get("/filings/records/7?ms=1500");
    let stopping = async {
        sleep(Duration::from_millis(STOP_DELAY_MS)).await;
        let started = Instant::now();
        vm.node.stop().await;
        started.elapsed().as_millis()
    };
    let (answer, stop_ms) = join(sending, stopping).await;
    let row = DemoRow::count("a slow look-up while its node is stopped", &[answer?]);
    let is_served = row.served == 1;
    let note = format!("the stop took {stop_ms} ms");
    Ok(row.with_note(note).expect(is_served))
}

/// Sends requests until each node holds tokens of the team's rate.
async fn warm_up(fleet: &DemoFleet, key: &str) -> Result<(), DemoError> {
    for vm in &fleet.vms {
        let address = vm.node.caller_address();
        let mut caller = DemoCaller::connect(address).await?.with_key(key);
        while !caller.get("/filings/records/7").await?.is_served() {
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
    }
    Ok(())
}

async fn look_up(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let mut answers = Vec::new();
    for vm in &fleet.vms {
        let address = vm.node.caller_address();
        let mut caller = DemoCaller::connect(address).await?.with_key(key);
        for _ in 0..LOOK_UPS_PER_NODE {
            answers.push(caller.get("/filings/records/7").await?);
        }
    }
    let row = DemoRow::count("look-ups through each of the three nodes", &answers);
    let is_all = row.served == answers.len();
    Ok(row.with_note("each ran on both services").expect(is_all))
}

async fn send_without_key(fleet: &DemoFleet) -> Result<DemoRow, DemoError> {
    let address = fleet.vms[0].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?;
    let mut answers = vec![caller.get("/filings/records/7").await?];
    caller = caller.with_key("a-key-that-nobody-granted");
    answers.push(caller.get("/filings/records/7").await?);
    let row = DemoRow::count("look-ups without a key, and with a wrong one", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn send_open_call(fleet: &DemoFleet) -> Result<DemoRow, DemoError> {
    let address = fleet.vms[0].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?;
    let answer = caller.get("/filings/status").await?;
    let row = DemoRow::count("a call open to all, without a key", &[answer]);
    let is_served = row.served == 1;
    Ok(row.expect(is_served))
}

async fn send_unknown_call(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let address = fleet.vms[1].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(key);
    let answers = [caller.get("/filings/elsewhere").await?];
    let row = DemoRow::count("a call that isn't in the contract", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn charge_twice(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let mut answers = Vec::new();
    for vm in &fleet.vms[..2] {
        let address = vm.node.caller_address();
        let caller = DemoCaller::connect(address).await?;
        let mut caller = caller.with_key(key).with_idempotency_key("invoice-81");
        answers.push(caller.post("/filings/charges").await?);
    }
    let runs = count_runs(fleet, "invoice-81");
    let row = DemoRow::count("a charge sent twice, through two nodes", &answers);
    let is_once = runs == 1 && answers[0].body == answers[1].body;
    let note = format!("ran {runs} time; both got the same answer");
    Ok(row.with_note(note).expect(is_once))
}

async fn charge_without_idempotency_key(
    fleet: &DemoFleet,
    key: &str,
) -> Result<DemoRow, DemoError> {
    let address = fleet.vms[0].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(key);
    let answers = [caller.post("/filings/charges").await?];
    let row = DemoRow::count("a charge without an idempotency key", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn exceed_rate(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let started = Instant::now();
    let answers = send_at_once(fleet, key, "/filings/records/7", OVER_RATE_REQUESTS).await?;
    let span_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let limit = max_served(OVER_RATE_TEAM, span_ms);
    let row = DemoRow::count("60 look-ups at once by team \"press\"", &answers);
    let is_within = row.served as u64 <= limit && are_not_run(&answers);
    let note = "its rate is 10 a second, its burst 20";
    Ok(row.with_note(note).expect(is_within))
}

/// Sends more requests than the backend servers can run; a quarter of them are critical.
async fn overload(fleet: &DemoFleet, key: &str) -> Result<[DemoRow; 2], DemoError> {
    let mut normal = Vec::new();
    let mut critical = Vec::new();
    for n in 0..OVERLOAD_REQUESTS {
        let address = fleet.vms[n % fleet.vms.len()].node.caller_address();
        let method = if n % CRITICAL_INTERVAL == 0 {
            Method::POST
        } else {
            Method::GET
        };
        let is_critical = method == Method::POST;
        let sending = compio::runtime::spawn(send_one(address, key.to_owned(), method));
        if is_critical {
            critical.push(sending);
        } else {
            normal.push(sending);
        }
        sleep(Duration::from_millis(OVERLOAD_INTERVAL_MS)).await;
    }
    let normal = DemoRow::count(
        "overload: look-ups of normal importance",
        &collect(normal).await?,
    );
    let critical = DemoRow::count(
        "overload: filings of critical importance",
        &collect(critical).await?,
    );
    let is_ranked = critical.served * normal.sent() >= normal.served * critical.sent();
    let normal = normal.with_note("both over the same 2 s");
    Ok([normal.expect(true), critical.expect(is_ranked)])
}

async fn send_one(
    address: SocketAddr,
    key: String,
    method: Method,
) -> Result<CallerAnswer, DemoError> {
    let mut caller = DemoCaller::connect(address).await?.with_key(key);
    caller.send(method, "/filings/records/7").await
}

async fn collect(
    sendings: Vec<JoinHandle<Result<CallerAnswer, DemoError>>>,
) -> Result<Vec<CallerAnswer>, DemoError> {
    let mut answers = Vec::new();
    for sending in sendings {
        let answer = sending.await.map_err(|_| DemoError::TaskFailed)?;
        answers.push(answer?);
    }
    Ok(answers)
}

async fn withdraw_key(fleet: &DemoFleet) -> Result<DemoRow, CommandError> {
    let key = fleet.grant(STEADY_TEAM).await?;
    let address = fleet.vms[2].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(&key);
    let mut answers = vec![wait_for_key(&mut caller).await?];
    let started = Instant::now();
    fleet.withdraw(&key).await?;
    let limit = Duration::from_millis(WITHDRAW_LIMIT_MS);
    let probing = probe_until_refused(&mut caller, &mut answers);
    let is_in_time = timeout(limit, probing).await.is_ok();
    let note = format!("refused within {} ms", started.elapsed().as_millis());
    let row = DemoRow::count("a key withdrawn, on one open connection", &answers);
    Ok(row.with_note(note).expect(is_in_time))
}

/// Sends requests until the node accepts a key that was just granted.
async fn wait_for_key(caller: &mut DemoCaller) -> Result<CallerAnswer, DemoError> {
    loop {
        let answer = caller.get("/filings/records/7").await?;
        if answer.is_served() {
            return Ok(answer);
        }
        sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
    }
}

async fn probe_until_refused(
    caller: &mut DemoCaller,
    answers: &mut Vec<CallerAnswer>,
) -> Result<(), DemoError> {
    loop {
        let answer = caller.get("/filings/records/7").await?;
        let is_refused = answer.status == 401;
        answers.push(answer);
        if is_refused {
            return Ok(());
        }
        sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
    }
}

async fn send_at_once(
    fleet: &DemoFleet,
    key: &str,
    path: &'static str,
    count: usize,
) -> Result<Vec<CallerAnswer>, DemoError> {
    let mut callers = connect_all(fleet, key, count).await?;
    try_join_all(callers.iter_mut().map(|caller| caller.get(path))).await
}

/// Opens connections to the nodes in turn.
async fn connect_all(
    fleet: &DemoFleet,
    key: &str,
    count: usize,
) -> Result<Vec<DemoCaller>, DemoError> {
    let mut callers = Vec::new();
    for vm in fleet.vms.iter().cycle().take(count) {
        let address = vm.node.caller_address();
        callers.push(DemoCaller::connect(address).await?.with_key(key));
    }
    Ok(callers)
}

fn count_runs(fleet: &DemoFleet, trace: &str) -> usize {
    let records = fleet.vms.iter().map(|vm| vm.backend.record());
    records
        .map(|record| record.runs_by_trace().get(trace).copied().unwrap_or(0))
        .sum()
}

/// Returns whether every refused request has the verdict that it was not run.
fn are_not_run(answers: &[CallerAnswer]) -> bool {
    let mut refused = answers.iter().filter(|answer| !answer.is_served());
    refused.all(|answer| answer.verdict == "not-run")
}
