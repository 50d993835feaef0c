//! Runs seeded schedules and compares every verdict with what the backend servers ran.

mod schedule;

use lentilshift_once::{ClaimTable, OnceSettings};
use rstest::rstest;
use schedule::decider::{Decider, NaiveDecider};
use schedule::{Faults, Findings, Plan, Simulation, seed_count};

const HOUR_MS: u64 = 60 * 60 * 1_000;

fn plan(faults: Faults, horizon_ms: u64) -> Plan {
    Plan {
        nodes: 4,
        keys: 12,
        duplicates: 4,
        span_ms: 40_000,
        settings: OnceSettings {
            horizon_ms,
            snapshot_every_ms: 2_000,
            snapshot_chunk_claims: 3,
            appends_per_s: 50,
            start_within_ms: 3_000,
            ..OnceSettings::default()
        },
        faults,
    }
}

fn run_seeds<D: Decider>(plan: Plan, seeds: u64) -> Findings {
    let mut total = Findings::default();
    for seed in 0..seeds {
        let findings = Simulation::<D>::run(plan, seed);
        if findings.faults() > 0 {
            println!("seed={seed} findings={findings:?}");
        }
        total.add(&findings);
    }
    total
}

#[rstest]
#[case::all(Faults::ALL, HOUR_MS)]
#[case::horizon_passes(Faults::ALL, 15_000)]
#[case::kills(Faults { kill: 50, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::pauses(Faults { pause: 15, pause_ms: 40_000, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::lost_replies(Faults { append_fault: 5_000, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::outage(Faults { outage_ms: 20_000, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::retention(Faults { retention_ms: 5_000, kill: 30, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::retention_and_horizon(Faults { retention_ms: 3_000, kill: 30, pause: 15, pause_ms: 9_000, ..Faults::GIVING_UP }, 10_000)]
fn no_call_runs_twice_and_no_verdict_is_false(#[case] faults: Faults, #[case] horizon_ms: u64) {
    let total = run_seeds::<ClaimTable>(plan(faults, horizon_ms), seed_count(40));
    println!("faults={faults:?} horizon_ms={horizon_ms} findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert!(total.runs > 0);
}

/// Without snapshots, a node that starts late must wait for the horizon to pass.
#[test]
fn no_call_runs_twice_without_snapshots() {
    let faults = Faults {
        kill: 8,
        pause: 6,
        pause_ms: 9_000,
        append_fault: 3_000,
        retention_ms: 2_000,
        ..Faults::GIVING_UP
    };
    let mut plan = plan(faults, 6_000);
    plan.settings.snapshot_every_ms = HOUR_MS;
    plan.settings.start_within_ms = 1_000;
    plan.keys = 6;
    plan.duplicates = 20;
    let total = run_seeds::<ClaimTable>(plan, seed_count(40));
    println!("no snapshots findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert!(total.runs > 0);
}

#[test]
fn naive_node_runs_calls_twice_and_reports_false_verdicts() {
    let total = run_seeds::<NaiveDecider>(plan(Faults::ALL, HOUR_MS), 20);
    println!("naive findings={total:?}");
    assert!(total.double_runs > 0, "{total:?}");
    assert!(total.false_not_run > 0, "{total:?}");
}

#[test]
fn kill_at_any_event_breaks_no_guarantee() {
    let one_key = Plan {
        nodes: 2,
        keys: 1,
        duplicates: 6,
        span_ms: 2_000,
        ..plan(Faults::GIVING_UP, HOUR_MS)
    };
    for event in 1..300 {
        let kill_at_event = Some(event);
        let faults = Faults {
            kill_at_event,
            ..Faults::GIVING_UP
        };
        let total = run_seeds::<ClaimTable>(Plan { faults, ..one_key }, 4);
        assert_eq!(total.faults(), 0, "kill at event {event}: {total:?}");
    }
}

#[test]
fn no_call_is_refused_without_cause_when_there_are_no_faults() {
    let total = run_seeds::<ClaimTable>(plan(Faults::NONE, HOUR_MS), seed_count(40));
    println!("no faults findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert_eq!(total.avoidable, 0, "{total:?}");
}

/// In these seeds, three duplicates are given up by their callers, and the fourth waits for them
/// until its deadline.
#[rstest]
#[case(235)]
#[case(381)]
fn duplicate_waiting_for_abandoned_attempts_is_refused_at_its_deadline(#[case] seed: u64) {
    let findings = Simulation::<ClaimTable>::run(plan(Faults::GIVING_UP, HOUR_MS), seed);
    assert_eq!(findings.faults(), 0, "{findings:?}");
    assert_eq!(findings.avoidable, 1, "{findings:?}");
}
