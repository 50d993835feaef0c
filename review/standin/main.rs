//! The scripts of the review: each plays one case against the node processes, and judges what the
//! clients and the instances have seen.

mod fleet;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Machine, Outcome, Record, SIGHUP, SIGKILL, SIGTERM, Sent, send};

/// The exit code of a case in which the rule held.
const HELD: i32 = 0;
/// The exit code of a case in which the rule was broken.
const BROKEN: i32 = 1;
/// The exit code of a case that couldn't run.
const NOT_RUN: i32 = 2;

const DRAIN_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;
const RECOVER_S: u64 = 15;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(NOT_RUN);
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt")).expect("a record");
    record.line(&format!("case {case}, with the disruption: {is_disrupted}"));
    let played = match case.as_str() {
        "stop-twice" => stop_twice(&record, is_disrupted),
        "settings-change" => settings_change(&record, is_disrupted),
        "slow-reader" => slow_reader(&record, is_disrupted),
        "late-report" => late_report(&record, is_disrupted),
        "lost-machine" => lost_machine(&record, is_disrupted),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match played {
        Ok(faults) if faults.is_empty() => {
            record.line("the rule held");
            HELD
        }
        Ok(faults) => {
            for fault in &faults {
                record.line(&format!("BROKEN: {fault}"));
            }
            BROKEN
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            NOT_RUN
        }
    };
    std::process::exit(code);
}

/// Sends requests at the same time, and returns what came of them.
fn send_all(
    fleet: &Fleet,
    machine: usize,
    requests: &[(String, &'static str, String, Vec<u8>)],
    deadline_ms: u64,
) -> thread::JoinHandle<Vec<Sent>> {
    let node = fleet.machines[machine].outbound;
    let senders: Vec<_> = requests
        .iter()
        .cloned()
        .map(|(id, method, path, body)| {
            let record = fleet.record.clone();
            thread::spawn(move || send(node, method, &path, &id, deadline_ms, &body, &record))
        })
        .collect();
    thread::spawn(move || {
        let ended = senders.into_iter().map(|sender| sender.join());
        ended
            .map(|sent| sent.expect("a client doesn't panic"))
            .collect()
    })
}

/// Describes the requests that an instance began to work on and whose connection ended without a
/// complete answer.
fn unanswered(fleet: &Fleet, sent: &[Sent]) -> Vec<String> {
    let runs: Vec<_> = fleet
        .machines
        .iter()
        .flat_map(|machine| machine.instance.runs())
        .collect();
    let is_cut = |sent: &&Sent| matches!(sent.outcome, Outcome::Closed | Outcome::Silent);
    let cut = sent
        .iter()
        .filter(is_cut)
        .filter(|sent| runs.iter().any(|run| run.request == sent.id));
    cut.map(|sent| {
        let after_ms = sent.ended_at.duration_since(sent.sent_at).as_millis();
        format!(
            "LOST: request {} was passed on to an instance, and its connection ended after \
             {after_ms} ms without a complete answer",
            sent.id
        )
    })
    .collect()
}

/// A node that is rolled gets the SIGTERM of the roll, and that of its instance's removal.
fn stop_twice(record: &Record, is_disrupted: bool) -> std::io::Result<Vec<String>> {
    let routes = [
        ("/history/", "safe", "archive"),
        ("/charge/", "unsafe", "archive"),
    ];
    let mut fleet = Fleet::start(&["filings", "archive"], &routes, record)?;
    let leaving = Arc::clone(&fleet.machines[0].instance);
    let is_confirmed = leaving.send_draining(fleet.machines[0].control);
    record.line(&format!(
        "instance {} says that it drains; confirmed: {is_confirmed}",
        leaving.id
    ));
    thread::sleep(Duration::from_millis(1_800));
    let mut requests = Vec::new();
    for number in 0..5 {
        let history = format!("/history/w1000/{number}");
        requests.push((format!("a{number:015x}"), "GET", history, Vec::new()));
        let charge = format!("/charge/w1000/{number}");
        requests.push((format!("b{number:015x}"), "POST", charge, vec![b'c'; 300]));
    }
    let answers = send_all(&fleet, 0, &requests, 5_000);
    thread::sleep(Duration::from_millis(150));
    if is_disrupted {
        fleet.machines[0].signal(SIGTERM);
        record.line("SIGTERM to the node of machine-1: machines are stopped in turn");
    }
    thread::sleep(Duration::from_millis(200));
    leaving.send_delete(fleet.machines[0].control);
    leaving.end();
    record.line("the drained instance of machine-1 has ended");
    thread::sleep(Duration::from_millis(150));
    fleet.machines[0].signal(SIGTERM);
    record.line("SIGTERM to the node of machine-1: its instance has terminated");
    thread::sleep(Duration::from_millis(100));
    if let Some(status) = fleet.machines[0].ended() {
        record.line(&format!("the process of machine-1 has ended: {status}"));
    }
    let sent = answers.join().expect("the clients end");
    let faults = unanswered(&fleet, &sent);
    fleet.end();
    Ok(faults)
}

/// The settings files change, and the nodes get SIGHUP for each change.
fn settings_change(record: &Record, is_disrupted: bool) -> std::io::Result<Vec<String>> {
    let routes = [
        ("/history/", "safe", "archive"),
        ("/charge/", "unsafe", "archive"),
    ];
    let mut fleet = Fleet::start(&["archive"], &routes, record)?;
    let is_done = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let node = fleet.machines[0].outbound;
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (is_done, next) = (Arc::clone(&is_done), Arc::clone(&next));
            let record = record.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !is_done.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("c{number:015x}");
                    let (method, path) = match client % 2 {
                        0 => ("GET", format!("/history/w400/{number}")),
                        _ => ("POST", format!("/charge/w400/{number}")),
                    };
                    sent.push(send(node, method, &path, &id, 5_000, b"", &record));
                    thread::sleep(Duration::from_millis(100));
                }
                sent
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut seeds = 0;
    for round in 0..60 {
        if !is_disrupted {
            thread::sleep(Duration::from_millis(250));
            continue;
        }
        for _ in 0..2 {
            seeds += 1;
            fleet.machines[0].rewrite_settings(seeds)?;
        }
        for pause_us in [0, 10 * round] {
            let until = Instant::now() + Duration::from_micros(pause_us);
            while Instant::now() < until {}
            fleet.machines[0].signal(SIGHUP);
        }
        record.line(&format!(
            "round {round}: the settings file changed twice, a SIGHUP each"
        ));
        thread::sleep(Duration::from_millis(250));
        if let Some(status) = fleet.machines[0].ended() {
            record.line(&format!(
                "the process of machine-1 has ended by itself: {status}"
            ));
            break;
        }
    }
    is_done.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client doesn't panic"))
        .collect();
    let faults = unanswered(&fleet, &sent);
    fleet.end();
    Ok(faults)
}

/// A machine is stopped while an instance reads an upload slowly.
fn slow_reader(record: &Record, is_disrupted: bool) -> std::io::Result<Vec<String>> {
    let routes = [("/upload/", "upload", "surveys")];
    let fleet = Fleet::start(&["surveys"], &routes, record)?;
    let pause_ms = if is_disrupted { 1_200 } else { 0 };
    let mut requests = Vec::new();
    for number in 0..4 {
        let path = format!("/upload/r{pause_ms}/w200/{number}");
        requests.push((format!("d{number:015x}"), "POST", path, vec![b'p'; 360_000]));
    }
    let answers = send_all(&fleet, 0, &requests, 2_500);
    thread::sleep(Duration::from_millis(100));
    fleet.machines[0].signal(SIGTERM);
    let stopped_at = Instant::now();
    record.line("SIGTERM to the node of machine-1: machines are stopped in turn");
    let sent = answers.join().expect("the clients end");
    let runs = fleet.machines[0].instance.runs();
    let mut faults = unanswered(&fleet, &sent);
    for sent in &sent {
        let Outcome::Answer(status, false) = sent.outcome else {
            continue;
        };
        if runs.iter().any(|run| run.request == sent.id) {
            let after_ms = sent.ended_at.duration_since(stopped_at).as_millis();
            faults.push(format!(
                "LOST: the instance was at work on request {}, which was broken off {after_ms} ms \
                 after the SIGTERM with the node's own answer {status}",
                sent.id
            ));
        }
    }
    fleet.end();
    Ok(faults)
}

/// A node is killed after it has confirmed that its instance is gone; then a late report arrives.
fn late_report(record: &Record, is_disrupted: bool) -> std::io::Result<Vec<String>> {
    let routes = [("/history/", "safe", "archive")];
    let services = ["registry", "archive", "archive"];
    let mut fleet = Fleet::start(&services, &routes, record)?;
    let leaving = Arc::clone(&fleet.machines[1].instance);
    let control = fleet.machines[1].control;
    let late = leaving.next_report("ready");
    thread::sleep(Duration::from_millis(200));
    let is_confirmed = leaving.send_delete(control);
    let confirmed_at = Instant::now();
    record.line(&format!(
        "instance {} says that it is gone; confirmed: {is_confirmed}",
        leaving.id
    ));
    if !is_confirmed {
        return Err(std::io::Error::other("the leave wasn't confirmed"));
    }
    thread::sleep(Duration::from_millis(300));
    let mut in_touch_at = Instant::now();
    if is_disrupted {
        fleet.machines[1].restart(Duration::from_millis(300))?;
        in_touch_at = Instant::now() + Duration::from_millis(STABLE_WINDOW_MS);
        record.line("the node of machine-2 was killed and started again");
    }
    while confirmed_at.elapsed() < Duration::from_millis(2_500) {
        thread::sleep(Duration::from_millis(10));
    }
    let is_taken = leaving.send_report(control, &late);
    record.line(&format!(
        "a status report of instance {} arrives that was sent before it left; 200: {is_taken}",
        leaving.id
    ));
    let node = fleet.machines[0].outbound;
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                while confirmed_at.elapsed() < Duration::from_millis(9_000) {
                    let number = sent.len();
                    let id = format!("e{client}{number:014x}");
                    let path = format!("/history/w100/{client}/{number}");
                    sent.push(send(node, "GET", &path, &id, 3_000, b"", &record));
                    thread::sleep(Duration::from_millis(100));
                }
                sent
            })
        })
        .collect();
    let requests: Vec<Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client doesn't panic"))
        .collect();
    let bound = confirmed_at + Duration::from_millis(DRAIN_MS);
    let mut faults = Vec::new();
    for run in leaving.runs() {
        let sent = requests.iter().find(|sent| sent.id == run.request);
        let Some(sent) = sent.filter(|sent| sent.sent_at > in_touch_at) else {
            continue;
        };
        if run.began_at > bound {
            let late_ms = run.began_at.duration_since(confirmed_at).as_millis();
            faults.push(format!(
                "DRAIN: request {} reached instance {} {late_ms} ms after its leave was confirmed",
                sent.id, leaving.id
            ));
        }
    }
    fleet.end();
    Ok(faults)
}

/// A machine is lost for good that isn't the one which last wrote a lease to the store.
fn lost_machine(record: &Record, is_disrupted: bool) -> std::io::Result<Vec<String>> {
    let routes = [("/history/", "safe", "archive")];
    let services = ["archive", "archive", "archive"];
    let mut fleet = Fleet::start(&services, &routes, record)?;
    let writer = fleet.store.newest_holder().unwrap_or_default();
    let is_other = |machine: &Machine| machine.name != writer;
    let victim = fleet.machines.iter().position(is_other).unwrap_or(0);
    let before = ask_all(&fleet, None, Duration::from_secs(5));
    let lost_at = Instant::now();
    if is_disrupted {
        let machine = &mut fleet.machines[victim];
        machine.signal(SIGKILL);
        machine.instance.end();
        record.line(&format!(
            "{} is lost for good; {writer} has last written a lease",
            machine.name
        ));
    }
    let lost = is_disrupted.then_some(victim);
    let after = ask_all(&fleet, lost, Duration::from_secs(RECOVER_S + 45));
    fleet.end();
    let bound = lost_at + Duration::from_secs(RECOVER_S);
    let late: Vec<&Sent> = after.iter().filter(|sent| sent.sent_at > bound).collect();
    let is_served = |sent: &&Sent| sent.outcome == Outcome::Answer(200, true);
    let (served, all) = (late.iter().copied().filter(is_served).count(), late.len());
    let served_before = before.iter().filter(is_served).count();
    record.line(&format!(
        "served: {served_before} of {} before, {served} of {all} sent later than {RECOVER_S} s after",
        before.len()
    ));
    let was_served = served_before * 4 >= before.len();
    Ok(if was_served && served * 4 < all {
        vec![format!(
            "RECOVER: {served} of {all} requests sent later than {RECOVER_S} s after the fault were \
             served"
        )]
    } else {
        Vec::new()
    })
}

/// Sends requests one after the other to all machines but the lost one.
fn ask_all(fleet: &Fleet, lost: Option<usize>, span: Duration) -> Vec<Sent> {
    let until = Instant::now() + span;
    let mut sent = Vec::new();
    while Instant::now() < until {
        for (number, machine) in fleet.machines.iter().enumerate() {
            if Some(number) == lost {
                continue;
            }
            let id = format!("a{:05x}{:010x}", fleet.record.elapsed_ms(), sent.len());
            let path = format!("/history/w20/{}", sent.len());
            let record = &fleet.record;
            sent.push(send(
                machine.outbound,
                "GET",
                &path,
                &id,
                3_000,
                b"",
                record,
            ));
        }
        thread::sleep(Duration::from_millis(200));
    }
    sent
}
