//! Runs seeded schedules and compares every verdict with the backend servers' record.

mod schedule;

use lentilshift_once::{ClaimTable, OnceSettings};
use rstest::rstest;
use schedule::decider::{Decider, NaiveBook};
use schedule::{Faults, Findings, Plan, World, seed_count};

const HOUR_MS: u64 = 60 * 60 * 1_000;

fn plan(faults: Faults, horizon_ms: u64) -> Plan {
    Plan {
        nodes: 4,
        keys: 12,
        copies: 4,
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
        let findings = World::<D>::run(plan, seed);
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
#[case::lost_replies(Faults { append_trouble: 5_000, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::outage(Faults { outage_ms: 20_000, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::retention(Faults { retention_ms: 5_000, kill: 30, ..Faults::GIVING_UP }, HOUR_MS)]
#[case::retention_and_horizon(Faults { retention_ms: 3_000, kill: 30, pause: 15, pause_ms: 9_000, ..Faults::GIVING_UP }, 10_000)]
fn no_call_runs_twice_and_no_verdict_is_false(#[case] faults: Faults, #[case] horizon_ms: u64) {
    let total = run_seeds::<ClaimTable>(plan(faults, horizon_ms), seed_count(40));
    println!("faults={faults:?} horizon_ms={horizon_ms} findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert!(total.runs > 0);
}

/// Every node that starts late waits for the horizon, for want of a snapshot.
#[test]
fn without_snapshots_no_call_runs_twice() {
    let faults = Faults {
        kill: 8,
        pause: 6,
        pause_ms: 9_000,
        append_trouble: 3_000,
        retention_ms: 2_000,
        ..Faults::GIVING_UP
    };
    let mut plan = plan(faults, 6_000);
    plan.settings.snapshot_every_ms = HOUR_MS;
    plan.settings.start_within_ms = 1_000;
    plan.keys = 6;
    plan.copies = 20;
    let total = run_seeds::<ClaimTable>(plan, seed_count(40));
    println!("no snapshots findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert!(total.runs > 0);
}

#[test]
fn naive_node_runs_calls_twice_and_says_false_things() {
    let total = run_seeds::<NaiveBook>(plan(Faults::ALL, HOUR_MS), 20);
    println!("naive findings={total:?}");
    assert!(total.doubles > 0, "{total:?}");
    assert!(total.false_not_run > 0, "{total:?}");
}

#[test]
fn kills_between_every_two_steps_do_no_harm() {
    let one_key = Plan {
        nodes: 2,
        keys: 1,
        copies: 6,
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
fn without_faults_no_call_is_refused_needlessly() {
    let total = run_seeds::<ClaimTable>(plan(Faults::NONE, HOUR_MS), seed_count(40));
    println!("no faults findings={total:?}");
    assert_eq!(total.faults(), 0, "{total:?}");
    assert_eq!(total.needless, 0, "{total:?}");
}

/// In these seeds three copies were given up, and the fourth waited for them until its deadline.
#[rstest]
#[case(235)]
#[case(381)]
fn copy_that_waited_for_given_up_copies_is_refused_in_time(#[case] seed: u64) {
    let findings = World::<ClaimTable>::run(plan(Faults::GIVING_UP, HOUR_MS), seed);
    assert_eq!(findings.faults(), 0, "{findings:?}");
    assert_eq!(findings.needless, 1, "{findings:?}");
}
