//! Checks rules of the claim table that random schedules rarely exercise.

use clock::ClockTime;
use lentilshift_once::{
    CallFingerprint, ClaimAction, ClaimBody, ClaimEntry, ClaimFold, ClaimOutcome, ClaimRecord,
    ClaimTable, HolderReply, KeyDigest, OnceRequest, OnceSettings, SnapshotChunk, StoredAnswer,
};
use model::{AttemptId, RecordId, RefusalReason, RunVerdict};

const SETTINGS: OnceSettings = OnceSettings {
    horizon_ms: 10_000,
    max_claims: 5,
    snapshot_every_ms: 5_000,
    snapshot_chunk_claims: 1_000,
    batch_delay_ms: 0,
    appends_per_s: 50,
    batch_entries: 1_000,
    resend_ms: 200,
    outage_after_ms: 700,
    start_within_ms: 1_000,
    query_interval_ms: 250,
    retry_after_ms: 1_000,
    return_guard_ms: 2_000,
    rewrite_ms: 400,
    answer_bytes: 100,
    max_ended_attempts: 100,
};

fn time(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn table(first_offset: u64) -> ClaimTable {
    let vm = "vm-1".into();
    ClaimTable::new(SETTINGS, "filings".into(), vm, time(0), first_offset, 1)
}

fn key(number: u8) -> KeyDigest {
    KeyDigest::new(&"team".into(), &[number])
}

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_random(number)
}

fn request(number: u128, body: &[u8]) -> OnceRequest {
    OnceRequest {
        attempt: attempt(number),
        key: key(1),
        fingerprint: CallFingerprint::new(&"file".into(), body),
        deadline: time(100_000),
        key_age_ms: None,
    }
}

fn claim(vm: &str, key: KeyDigest, number: u128) -> ClaimRecord {
    let entry = ClaimEntry::Claim {
        key,
        attempt: attempt(number),
        fingerprint: CallFingerprint::new(&"file".into(), b"body"),
    };
    record(vm, ClaimBody::Batch(vec![entry]))
}

fn record(vm: &str, body: ClaimBody) -> ClaimRecord {
    ClaimRecord {
        id: RecordId::from_random(1),
        service: "filings".into(),
        vm: vm.into(),
        body,
    }
}

/// Begins a call and applies its claim at an offset, so that it owns its key.
fn acquire_claim(table: &mut ClaimTable, offset: u64, number: u128) {
    let mut actions = Vec::new();
    table.begin(time(0), request(number, b"body"), &mut actions);
    let Some(ClaimAction::Append(record)) = actions.pop() else {
        panic!("no append for attempt {number}");
    };
    table.receive_record(time(1), offset, &record, &mut actions);
    assert_eq!(actions, vec![ClaimAction::Run(attempt(number))]);
}

fn refusal(actions: &[ClaimAction]) -> (RefusalReason, RunVerdict) {
    match actions.first() {
        Some(ClaimAction::Refuse(_, refusal)) => (refusal.reason, refusal.verdict),
        other => panic!("not a refusal: {other:?}"),
    }
}

#[test]
fn attempt_that_was_paused_past_its_deadline_never_starts() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    assert!(!table.start(time(1_000), attempt(1), &mut actions));
    let refusal = refusal(&actions);
    assert_eq!(refusal, (RefusalReason::DeadlinePassed, RunVerdict::NotRun));
}

#[test]
fn attempt_whose_claim_expired_never_starts() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let expire = record("vm-2", ClaimBody::Expire { below: 1 });
    table.receive_record(time(2), 1, &expire, &mut Vec::new());
    assert!(!table.start(time(3), attempt(1), &mut Vec::new()));
}

#[test]
fn started_attempt_is_not_given_up() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    assert!(table.start(time(2), attempt(1), &mut Vec::new()));
    assert!(!table.give_up(time(3), attempt(1), &mut Vec::new()));
    assert_eq!(table.reply_for(attempt(1)), HolderReply::Running);
}

#[test]
fn key_with_another_body_is_refused() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    table.begin(time(2), request(2, b"other body"), &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::BadRequest, RunVerdict::NotRun)
    );
}

#[test]
fn duplicate_of_an_answer_too_large_to_store_gets_the_verdict() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    assert!(table.start(time(2), attempt(1), &mut actions));
    let answer = StoredAnswer::new(&b"200"[..], &[0; 200][..]);
    let outcome = ClaimOutcome::Answered(answer);
    table.finish(time(3), attempt(1), outcome, &mut actions);
    table.begin(time(4), request(2, b"body"), &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::Duplicate, RunVerdict::Ran)
    );
}

#[test]
fn node_that_missed_records_runs_nothing() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    table.receive_gap(time(2), 9, &mut actions);
    let unavailable = (RefusalReason::ClaimUnavailable, RunVerdict::NotRun);
    assert_eq!(refusal(&actions), unavailable);
    assert!(!table.start(time(3), attempt(1), &mut actions));
    actions.clear();
    table.begin(time(4), request(2, b"body"), &mut actions);
    assert_eq!(refusal(&actions), unavailable);
}

#[test]
fn lost_claims_read_before_an_expiry_block_their_key() {
    // Attempt 1 owned the key with a claim below offset 5, so attempt 2 lost to it. Attempt 3 won
    // after the expiry at offset 7.
    let mut late = ClaimFold::new(5);
    late.apply(5, &claim("vm-2", key(1), 2));
    late.apply(7, &record("vm-3", ClaimBody::Expire { below: 5 }));
    late.apply(8, &claim("vm-3", key(1), 3));
    assert!(late.is_complete() && !late.is_exact());
    late.apply(9, &record("vm-3", ClaimBody::Expire { below: 6 }));
    assert!(late.owner(key(1)).is_some(), "attempt 3 may have run");
    late.apply(10, &record("vm-3", ClaimBody::Expire { below: 9 }));
    assert!(late.owner(key(1)).is_none() && late.is_exact());
}

#[test]
fn key_older_than_the_horizon_is_refused() {
    let mut actions = Vec::new();
    let request = OnceRequest {
        key_age_ms: Some(10_000),
        ..request(1, b"body")
    };
    table(0).begin(time(1), request, &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::Duplicate, RunVerdict::MayHaveRun)
    );
}

#[test]
fn call_is_refused_during_a_log_outage_and_its_late_claim_is_released() {
    let mut table = table(0);
    let mut actions = Vec::new();
    table.begin(time(0), request(1, b"body"), &mut actions);
    let Some(ClaimAction::Append(lost)) = actions.pop() else {
        panic!("no append");
    };
    while actions.is_empty() {
        let now = table.next_poll();
        assert!(now <= time(900), "the call is still waiting at {now}");
        table.poll(now, &mut actions);
        actions.retain(|action| matches!(action, ClaimAction::Refuse(..)));
    }
    let unavailable = (RefusalReason::ClaimUnavailable, RunVerdict::NotRun);
    assert_eq!(refusal(&actions), unavailable);
    actions.clear();
    table.begin(time(2_600), request(2, b"body"), &mut actions);
    assert_eq!(refusal(&actions), unavailable);
    actions.clear();
    table.receive_record(time(3_000), 0, &lost, &mut actions);
    let Some(ClaimAction::Append(release)) = actions.pop() else {
        panic!("no release of the claim that was applied late: {actions:?}");
    };
    table.receive_record(time(3_010), 1, &release, &mut actions);
    assert!(table.fold().is_empty());
}

#[test]
fn new_keys_are_refused_when_there_are_too_many_claims() {
    let mut table = table(0);
    for number in 0..5_u8 {
        let claim = claim("vm-2", key(number + 1), number.into());
        table.receive_record(time(0), number.into(), &claim, &mut Vec::new());
    }
    let mut actions = Vec::new();
    let new = OnceRequest {
        key: key(9),
        ..request(9, b"body")
    };
    table.begin(time(1), new, &mut actions);
    let unavailable = (RefusalReason::ClaimUnavailable, RunVerdict::NotRun);
    assert_eq!(refusal(&actions), unavailable);
    actions.clear();
    table.begin(time(1), request(8, b"body"), &mut actions);
    assert!(
        matches!(actions[..], [ClaimAction::QueryHolder { .. }]),
        "{actions:?}"
    );
}

#[test]
fn services_that_share_a_stream_ignore_the_claims_of_others() {
    let other = |body| ClaimRecord {
        service: "surveys".into(),
        ..record("vm-9", body)
    };
    let claim_body = claim("vm-9", key(1), 9).body;
    let mut from_start = table(0);
    from_start.receive_record(time(0), 0, &other(claim_body), &mut Vec::new());
    acquire_claim(&mut from_start, 1, 1);

    let mut late = table(3);
    let snapshot = ClaimBody::Snapshot(SnapshotChunk {
        snapshot: RecordId::from_random(5),
        next_offset: 4,
        index: 0,
        count: 1,
        claims: Vec::new(),
        marks: Vec::new(),
    });
    late.receive_record(time(0), 3, &other(snapshot.clone()), &mut Vec::new());
    let expire = other(ClaimBody::Expire { below: 4 });
    late.receive_record(time(0), 4, &expire, &mut Vec::new());
    assert!(!late.fold().is_complete());
    late.receive_record(time(0), 5, &record("vm-2", snapshot), &mut Vec::new());
    assert!(late.fold().is_complete());
}

/// Returns the claims in the appends among some actions, with the VM for which they are written.
fn claims(actions: &[ClaimAction]) -> Vec<(String, AttemptId)> {
    let mut claims = Vec::new();
    for action in actions {
        if let ClaimAction::Append(ClaimRecord { vm, body, .. }) = action
            && let ClaimBody::Batch(entries) = body
        {
            claims.extend(entries.iter().filter_map(|entry| match entry {
                ClaimEntry::Claim { attempt, .. } => Some((vm.to_string(), *attempt)),
                ClaimEntry::Release { .. } => None,
            }));
        }
    }
    claims
}

// Guards against a key running twice: its claim was lost with the last records of the log.
#[test]
fn claim_that_the_log_has_lost_is_written_again_and_stays_binding() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    assert!(table.start(time(2), attempt(1), &mut actions));
    table.go_back(time(10), &mut actions);
    table.log_caught_up(time(11), &mut actions);
    assert_eq!(claims(&actions), [("vm-1".to_owned(), attempt(1))]);
    table.finish(time(12), attempt(1), ClaimOutcome::MayHaveRun, &mut actions);
    actions.clear();
    table.begin(time(5_000), request(2, b"body"), &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::Duplicate, RunVerdict::MayHaveRun)
    );
    assert!(claims(&actions).is_empty());
}

// Guards against the same for a claim of another node, which may have ended.
#[test]
fn lost_claim_of_another_node_is_written_again_in_its_name() {
    let mut table = table(0);
    let mut actions = Vec::new();
    table.receive_record(time(0), 0, &claim("vm-2", key(1), 7), &mut actions);
    table.go_back(time(10), &mut actions);
    table.log_caught_up(time(11), &mut actions);
    assert!(claims(&actions).is_empty());
    table.poll(time(500), &mut actions);
    assert_eq!(claims(&actions), [("vm-2".to_owned(), attempt(7))]);
    table.receive_record(time(501), 0, &claim("vm-2", key(1), 7), &mut actions);
    assert_eq!(table.carried_claims(), 0);
}

// Guards against a key being claimed as fresh before the holder of a lost claim has written it again.
#[test]
fn unknown_key_is_refused_until_others_have_written_again() {
    let mut table = table(0);
    let mut actions = Vec::new();
    table.go_back(time(10), &mut actions);
    table.log_caught_up(time(11), &mut actions);
    table.begin(time(12), request(1, b"body"), &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::ClaimUnavailable, RunVerdict::NotRun)
    );
    actions.clear();
    table.receive_record(time(1_000), 0, &claim("vm-2", key(1), 7), &mut actions);
    table.begin(time(2_100), request(2, b"body"), &mut actions);
    assert!(matches!(actions[..], [ClaimAction::QueryHolder { .. }]));
}

// Guards against an attempt that won its key on a log that has gone back running on that ground.
#[test]
fn attempt_that_has_not_started_does_not_run_after_the_log_went_back() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    table.go_back(time(10), &mut actions);
    assert_eq!(
        refusal(&actions),
        (RefusalReason::ClaimUnavailable, RunVerdict::NotRun)
    );
    assert!(!table.start(time(11), attempt(1), &mut actions));
    assert_eq!(table.carried_claims(), 0);
}

// Guards against an append in flight taking the key of a claim that was lost, and giving it free.
#[test]
fn lost_claim_is_written_again_after_another_one_was_released() {
    let mut table = table(0);
    acquire_claim(&mut table, 0, 1);
    let mut actions = Vec::new();
    assert!(table.start(time(2), attempt(1), &mut actions));
    table.go_back(time(10), &mut actions);
    table.receive_record(time(11), 0, &claim("vm-2", key(1), 9), &mut actions);
    table.log_caught_up(time(12), &mut actions);
    assert!(claims(&actions).is_empty());
    let release = ClaimEntry::Release {
        key: key(1),
        attempt: attempt(9),
    };
    let release = record("vm-2", ClaimBody::Batch(vec![release]));
    table.receive_record(time(500), 1, &release, &mut actions);
    table.poll(time(501), &mut actions);
    assert_eq!(claims(&actions), [("vm-1".to_owned(), attempt(1))]);
}
