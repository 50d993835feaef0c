//! Measures the cost of claims: bytes, processor time, memory and appends.
//!
//! Run with `cargo run --release -p lentilshift-once --example claim_slopes`. With a number of
//! claims as argument, it measures their memory instead.

use std::time::Instant;

use clock::ClockTime;
use lentilshift_once::{
    CallFingerprint, ClaimAction, ClaimBody, ClaimEntry, ClaimOutcome, ClaimRecord, ClaimTable,
    KeyDigest, OnceRequest, OnceSettings, StoredAnswer,
};
use model::{AttemptId, RecordId, VmName};

/// The virtual time of one measurement, in milliseconds.
const SPAN_MS: u64 = 20_000;

/// The virtual time from an append until its record is read, in milliseconds.
const READ_BACK_MS: u64 = 10;

/// The rate of calls on one stream at the design size, in calls per second.
const SHARD_CALLS_PER_S: u64 = 310;

/// The rate of appends to one stream at that size, in appends per second.
const SHARD_APPENDS_PER_S: u64 = 10;

/// The number of claims in one record of the memory measurement.
const BATCH: u64 = 10;

fn main() {
    if let Some(claims) = std::env::args().nth(1) {
        measure_memory(claims.parse().expect("the argument is a number of claims"));
        return;
    }
    println!("nodes  calls/s  appends/s  calls/append  bytes/claim  us/claim/node  wait_ms");
    for (nodes, calls_per_s) in [(4, 20), (4, 100), (8, 400), (8, 1_600), (16, 1_600)] {
        measure_stream(nodes, calls_per_s, OnceSettings::default());
    }
    println!("one of 20 streams with 10 appends/s, by its nodes and by one that appends for all");
    for nodes in [1, 8, 40, 200] {
        let settings = OnceSettings {
            appends_per_s: SHARD_APPENDS_PER_S,
            ..OnceSettings::default()
        };
        measure_stream(nodes, SHARD_CALLS_PER_S, settings);
    }
}

/// Passes calls to the tables of one service at a constant rate.
fn measure_stream(nodes: usize, calls_per_s: u64, settings: OnceSettings) {
    let vms: Vec<VmName> = (0..nodes)
        .map(|i| VmName::new(format!("filings-vm-{i:04}")))
        .collect();
    let mut tables: Vec<ClaimTable> = vms.iter().map(|vm| table(vm, settings)).collect();
    let mut log: Vec<(u64, ClaimRecord)> = Vec::new();
    let mut read = 0;
    let mut begun = 0_u64;
    let mut waits_ms = 0;
    let started = Instant::now();
    for now_ms in 0..SPAN_MS {
        let now = ClockTime::from_ms(now_ms);
        let mut actions = Vec::new();
        while begun * 1_000 < now_ms * calls_per_s {
            let node = usize::try_from(begun).unwrap_or(0) % nodes;
            let mut new = Vec::new();
            tables[node].begin(now, request(begun, now), &mut new);
            actions.extend(new.into_iter().map(|action| (node, action)));
            begun += 1;
        }
        while log
            .get(read)
            .is_some_and(|(time, _)| time + READ_BACK_MS <= now_ms)
        {
            for (node, table) in tables.iter_mut().enumerate() {
                let mut new = Vec::new();
                table.receive_record(now, read as u64, &log[read].1, &mut new);
                actions.extend(new.into_iter().map(|action| (node, action)));
            }
            read += 1;
        }
        for (node, table) in tables.iter_mut().enumerate() {
            let mut new = Vec::new();
            table.poll(now, &mut new);
            actions.extend(new.into_iter().map(|action| (node, action)));
        }
        let mut runs = Vec::new();
        for (node, action) in actions {
            match action {
                ClaimAction::Append(record) => log.push((now_ms, record)),
                ClaimAction::Run(attempt) => runs.push((node, attempt)),
                _ => {}
            }
        }
        for (node, attempt) in runs {
            waits_ms += now_ms - began_at(attempt);
            let mut new = Vec::new();
            assert!(tables[node].start(now, attempt, &mut new));
            let answer = ClaimOutcome::Answered(StoredAnswer::new(&b"200"[..], &b"ok"[..]));
            tables[node].finish(now, attempt, answer, &mut new);
        }
    }
    let spent_us = started.elapsed().as_micros();
    let bytes: usize = log.iter().map(|(_, record)| encoded_len(record)).sum();
    let appends = log.len() as u64;
    println!(
        "{nodes:5}  {calls_per_s:7}  {:9.1}  {:12.1}  {:11.1}  {:13.2}  {:7.1}",
        per(appends * 1_000, SPAN_MS),
        per(begun, appends),
        per(bytes as u64, begun),
        per(
            u64::try_from(spent_us).unwrap_or(u64::MAX),
            begun * nodes as u64
        ),
        per(waits_ms, begun),
    );
}

/// Measures the memory of a table for claims of other nodes, and the size of a snapshot of them.
fn measure_memory(claims: u64) {
    let before = resident_bytes();
    let mut reader = table(&VmName::new("filings-vm-0002"), OnceSettings::default());
    for offset in 0..claims / BATCH {
        let record = batch(offset);
        let now = ClockTime::from_ms(offset);
        reader.receive_record(now, offset, &record, &mut Vec::new());
    }
    let held = resident_bytes() - before;
    let chunks = reader.fold().snapshot_claims(1_000);
    let snapshot: usize = chunks.iter().map(encoded_len).sum();
    println!(
        "claims={claims} memory_bytes_per_claim={:.1} snapshot_bytes_per_claim={:.1}",
        per(held, claims),
        per(snapshot as u64, claims)
    );
}

fn batch(offset: u64) -> ClaimRecord {
    let claim = |number| {
        let request = request(offset * BATCH + number, ClockTime::from_ms(offset));
        ClaimEntry::Claim {
            key: request.key,
            attempt: request.attempt,
            fingerprint: request.fingerprint,
        }
    };
    ClaimRecord {
        id: RecordId::from_random(offset.into()),
        service: "filings".into(),
        vm: VmName::new("filings-vm-0001"),
        body: ClaimBody::Batch((0..BATCH).map(claim).collect()),
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("procfs is mounted");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1_024
}

fn table(vm: &VmName, settings: OnceSettings) -> ClaimTable {
    ClaimTable::new(
        settings,
        "filings".into(),
        vm.clone(),
        ClockTime::ZERO,
        0,
        1,
    )
}

fn request(number: u64, now: ClockTime) -> OnceRequest {
    OnceRequest {
        attempt: AttemptId::from_random(u128::from(now.as_ms()) << 80 | u128::from(number)),
        key: KeyDigest::new(&"team".into(), &number.to_be_bytes()),
        fingerprint: CallFingerprint::new(&"file".into(), &number.to_be_bytes()),
        deadline: now.plus_ms(5_000),
        key_age_ms: None,
    }
}

fn began_at(attempt: AttemptId) -> u64 {
    u64::try_from(attempt.as_u128() >> 80).unwrap_or(0)
}

fn encoded_len(value: &impl serde::Serialize) -> usize {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    bytes.expect("records can be encoded").len()
}

#[allow(clippy::cast_precision_loss)] // The figures are far below 2^52.
fn per(total: u64, count: u64) -> f64 {
    total as f64 / count.max(1) as f64
}
