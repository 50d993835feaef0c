use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use futures_util::future::{join, try_join_all};

use crate::command_error::CommandError;
use crate::demo::caller_connection::CallerAnswer;
use crate::demo::demo_contract::{EAGER_TEAM, STEADY_TEAM, most_served};
use crate::demo::demo_row::DemoRow;
use crate::demo::{DemoCaller, DemoError, DemoFleet};

/// The look-ups sent through each node.
const LOOK_UPS: usize = 10;
/// The requests that the eager team sends at once.
const EAGER_REQUESTS: usize = 60;
/// The requests of each importance that are sent at once in the overload.
const OVERLOAD_REQUESTS: usize = 150;
/// The time that a request runs in the overload, in milliseconds.
const OVERLOAD_RUN_MS: u64 = 200;
/// The time that a request runs outside of the overload, in milliseconds.
const USUAL_RUN_MS: u64 = 10;
/// The longest that a withdrawn key may still work, in milliseconds.
const WITHDRAW_LIMIT_MS: u64 = 5_000;
/// The time between two requests with the key that is withdrawn, in milliseconds.
const PROBE_MS: u64 = 10;
/// The time before a node is stopped while it runs a request, in milliseconds.
const BEFORE_STOP_MS: u64 = 200;

/// Sends all requests of the demo and returns what happened.
pub(crate) async fn run_steps(
    fleet: &DemoFleet,
    steady_key: &str,
    eager_key: &str,
) -> Result<Vec<DemoRow>, CommandError> {
    warm_up(fleet, steady_key).await?;
    let mut rows = vec![
        look_up(fleet, steady_key).await?,
        ask_without_key(fleet).await?,
        ask_open_call(fleet).await?,
        ask_unknown_call(fleet, steady_key).await?,
        charge_twice(fleet, steady_key).await?,
        charge_without_name(fleet, steady_key).await?,
        exceed_rate(fleet, eager_key).await?,
    ];
    rows.extend(overload(fleet, steady_key).await?);
    rows.push(withdraw_key(fleet).await?);
    Ok(rows)
}

/// Stops a node while a request runs beside it.
pub(crate) async fn stop_node(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let pair = &fleet.pairs[0];
    let mut caller = DemoCaller::connect(pair.node.caller_address()).await?;
    caller = caller.with_key(key);
    let sending = caller.get("/filings/records/7?ms=1500");
    let stopping = async {
        sleep(Duration::from_millis(BEFORE_STOP_MS)).await;
        let started = Instant::now();
        pair.node.stop().await;
        started.elapsed().as_millis()
    };
    let (answer, stop_ms) = join(sending, stopping).await;
    let row = DemoRow::count("a slow look-up while its node is stopped", &[answer?]);
    let is_served = row.served == 1;
    let note = format!("the stop took {stop_ms} ms");
    Ok(row.with_note(note).expect(is_served))
}

/// Sends requests until each node has tokens of the team.
async fn warm_up(fleet: &DemoFleet, key: &str) -> Result<(), DemoError> {
    for pair in &fleet.pairs {
        let address = pair.node.caller_address();
        let mut caller = DemoCaller::connect(address).await?.with_key(key);
        while !caller.get("/filings/records/7").await?.is_served() {
            sleep(Duration::from_millis(PROBE_MS)).await;
        }
    }
    Ok(())
}

async fn look_up(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let mut answers = Vec::new();
    for pair in &fleet.pairs {
        let address = pair.node.caller_address();
        let mut caller = DemoCaller::connect(address).await?.with_key(key);
        for _ in 0..LOOK_UPS {
            answers.push(caller.get("/filings/records/7").await?);
        }
    }
    let row = DemoRow::count("look-ups through each of the three nodes", &answers);
    let is_all = row.served == answers.len();
    Ok(row.with_note("each ran on both services").expect(is_all))
}

async fn ask_without_key(fleet: &DemoFleet) -> Result<DemoRow, DemoError> {
    let address = fleet.pairs[0].node.caller_address();
    let mut stranger = DemoCaller::connect(address).await?;
    let mut answers = vec![stranger.get("/filings/records/7").await?];
    stranger = stranger.with_key("a-key-that-nobody-granted");
    answers.push(stranger.get("/filings/records/7").await?);
    let row = DemoRow::count("look-ups without a key, and with a wrong one", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn ask_open_call(fleet: &DemoFleet) -> Result<DemoRow, DemoError> {
    let address = fleet.pairs[0].node.caller_address();
    let mut stranger = DemoCaller::connect(address).await?;
    let answer = stranger.get("/filings/status").await?;
    let row = DemoRow::count("a call open to all, without a key", &[answer]);
    let is_served = row.served == 1;
    Ok(row.expect(is_served))
}

async fn ask_unknown_call(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let address = fleet.pairs[1].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(key);
    let answers = [caller.get("/filings/elsewhere").await?];
    let row = DemoRow::count("a call that isn't in the contract", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn charge_twice(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let mut answers = Vec::new();
    for pair in &fleet.pairs[..2] {
        let address = pair.node.caller_address();
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

async fn charge_without_name(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let address = fleet.pairs[0].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(key);
    let answers = [caller.post("/filings/charges").await?];
    let row = DemoRow::count("a charge without an idempotency key", &answers);
    let is_refused = row.served == 0 && are_not_run(&answers);
    Ok(row.with_note("not run").expect(is_refused))
}

async fn exceed_rate(fleet: &DemoFleet, key: &str) -> Result<DemoRow, DemoError> {
    let started = Instant::now();
    let answers = send_at_once(fleet, key, "/filings/records/7", EAGER_REQUESTS).await?;
    let span_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let most = most_served(EAGER_TEAM, span_ms);
    let row = DemoRow::count("60 look-ups at once by team \"press\"", &answers);
    let is_within = row.served as u64 <= most && are_not_run(&answers);
    let note = "its rate is 10 a second, its burst 20";
    Ok(row.with_note(note).expect(is_within))
}

/// Sends more than the backend servers can run, half of it of normal importance.
async fn overload(fleet: &DemoFleet, key: &str) -> Result<[DemoRow; 2], DemoError> {
    set_run_ms(fleet, OVERLOAD_RUN_MS);
    let low = send_at_once(fleet, key, "/filings/records/7", OVERLOAD_REQUESTS);
    let critical = post_at_once(fleet, key, "/filings/records/7", OVERLOAD_REQUESTS);
    let (low, critical) = join(low, critical).await;
    set_run_ms(fleet, USUAL_RUN_MS);
    let low = DemoRow::count("overload: 150 look-ups of normal importance", &low?);
    let critical = DemoRow::count("overload: 150 filings of critical importance", &critical?);
    let is_ranked = critical.served >= low.served;
    let low = low.with_note("both sent at the same moment");
    Ok([low.expect(true), critical.expect(is_ranked)])
}

async fn withdraw_key(fleet: &DemoFleet) -> Result<DemoRow, CommandError> {
    let key = fleet.grant(STEADY_TEAM).await?;
    let address = fleet.pairs[2].node.caller_address();
    let mut caller = DemoCaller::connect(address).await?.with_key(&key);
    let mut answers = vec![wait_for_key(&mut caller).await?];
    fleet.withdraw(&key).await?;
    let started = Instant::now();
    let limit = Duration::from_millis(WITHDRAW_LIMIT_MS);
    let probing = probe_until_refused(&mut caller, &mut answers);
    let is_in_time = timeout(limit, probing).await.is_ok();
    let note = format!("refused {} ms after", started.elapsed().as_millis());
    let row = DemoRow::count("a key withdrawn, on one open connection", &answers);
    Ok(row.with_note(note).expect(is_in_time))
}

/// Sends until a key that was just granted is known to the node.
async fn wait_for_key(caller: &mut DemoCaller) -> Result<CallerAnswer, DemoError> {
    loop {
        let answer = caller.get("/filings/records/7").await?;
        if answer.is_served() {
            return Ok(answer);
        }
        sleep(Duration::from_millis(PROBE_MS)).await;
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
        sleep(Duration::from_millis(PROBE_MS)).await;
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

async fn post_at_once(
    fleet: &DemoFleet,
    key: &str,
    path: &'static str,
    count: usize,
) -> Result<Vec<CallerAnswer>, DemoError> {
    let mut callers = connect_all(fleet, key, count).await?;
    try_join_all(callers.iter_mut().map(|caller| caller.post(path))).await
}

/// Opens connections to the nodes in turn.
async fn connect_all(
    fleet: &DemoFleet,
    key: &str,
    count: usize,
) -> Result<Vec<DemoCaller>, DemoError> {
    let mut callers = Vec::new();
    for pair in fleet.pairs.iter().cycle().take(count) {
        let address = pair.node.caller_address();
        callers.push(DemoCaller::connect(address).await?.with_key(key));
    }
    Ok(callers)
}

fn set_run_ms(fleet: &DemoFleet, run_ms: u64) {
    for pair in &fleet.pairs {
        pair.backend.set_run_ms(run_ms);
    }
}

fn count_runs(fleet: &DemoFleet, trace: &str) -> usize {
    let records = fleet.pairs.iter().map(|pair| pair.backend.record());
    records
        .map(|record| record.runs_by_trace().get(trace).copied().unwrap_or(0))
        .sum()
}

/// Returns whether every refusal says that the request has not run.
fn are_not_run(answers: &[CallerAnswer]) -> bool {
    let mut refused = answers.iter().filter(|answer| !answer.is_served());
    refused.all(|answer| answer.verdict == "not-run")
}
