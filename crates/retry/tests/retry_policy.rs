//! Checks single decisions of the retry policy, ratio, allowance and resend table.

use clock::ClockTime;
use lentilshift_retry::{
    AllowanceShare, FailedCall, RatioSettings, ResendDecision, ResendSettings, ResendTable,
    RetryAllowance, RetryDecision, RetryPolicy, RetryRatio, RetrySource, RetryStop,
};
use model::{AttemptId, RunVerdict};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const FAILED_CALL: FailedCall = FailedCall {
    verdict: RunVerdict::NotRun,
    is_idempotent: false,
    is_service_shedding: false,
    is_suspect: false,
    retries: 0,
    retry_after_ms: None,
    left_ms: 1_000,
    expected_ms: 10,
};

fn decide(call: FailedCall, retries: u32, ratio: &mut RetryRatio) -> RetryDecision {
    let mut allowance = RetryAllowance::new(AllowanceShare::new(retries));
    let mut random = SmallRng::seed_from_u64(1);
    RetryPolicy::default().decide(&call, &mut allowance, ratio, &mut random)
}

#[rstest]
#[case(FailedCall { verdict: RunVerdict::Ran, is_idempotent: true, ..FAILED_CALL }, RetryStop::Ran)]
#[case(FailedCall { verdict: RunVerdict::MayHaveRun, ..FAILED_CALL }, RetryStop::MayHaveRun)]
#[case(FailedCall { is_service_shedding: true, ..FAILED_CALL }, RetryStop::ServiceShedding)]
#[case(FailedCall { is_suspect: true, ..FAILED_CALL }, RetryStop::Suspect)]
#[case(FailedCall { left_ms: 10, ..FAILED_CALL }, RetryStop::NoTime)]
#[case(FailedCall { retry_after_ms: Some(2_000), ..FAILED_CALL }, RetryStop::NoTime)]
fn stops(#[case] call: FailedCall, #[case] stop: RetryStop) {
    let mut ratio = RetryRatio::new(RatioSettings::default());
    assert_eq!(decide(call, 3, &mut ratio), RetryDecision::Stop(stop));
}

#[rstest]
#[case(FAILED_CALL)]
#[case(FailedCall { verdict: RunVerdict::MayHaveRun, is_idempotent: true, ..FAILED_CALL })]
fn retries(#[case] call: FailedCall) {
    let mut ratio = RetryRatio::new(RatioSettings::default());
    let decision = decide(call, 3, &mut ratio);
    assert!(
        matches!(decision, RetryDecision::Retry { .. }),
        "{decision:?}"
    );
    let spent = RetryDecision::Stop(RetryStop::AllowanceSpent);
    assert_eq!(decide(call, 0, &mut ratio), spent);
}

#[test]
fn ratio_allows_one_retry_for_ten_successes() {
    let settings = RatioSettings {
        max_saved: 2,
        ..RatioSettings::default()
    };
    let mut ratio = RetryRatio::new(settings);
    assert!(ratio.spend() && ratio.spend() && !ratio.spend());
    for _ in 0..9 {
        ratio.record_success();
        assert!(!ratio.has_retry());
    }
    ratio.record_success();
    assert!(ratio.spend() && !ratio.spend());
}

#[test]
fn second_answer_returns_no_retries() {
    let mut allowance = RetryAllowance::new(AllowanceShare::new(4));
    let attempt = AttemptId::from_random(1);
    let share = allowance.delegate(attempt, 1);
    allowance.reclaim(attempt, AllowanceShare::new(share.retries() + 7));
    allowance.reclaim(attempt, share);
    assert_eq!(allowance.left(), 4);
}

#[test]
fn resends_are_charged_to_the_first_request() {
    let mut table = ResendTable::new(ResendSettings {
        retries: 3,
        max_keys: 2,
        ..ResendSettings::default()
    });
    let now = ClockTime::from_ms(1);
    let first = table.open(now, 7);
    assert_eq!(first, ResendDecision::First(AllowanceShare::new(2)));
    let resend = table.open(now, 7);
    assert_eq!(resend, ResendDecision::Resend(AllowanceShare::new(0)));
    assert_eq!(table.open(now, 7), ResendDecision::Exhausted);
    table.close(7, AllowanceShare::new(2));
    let resend = table.open(now, 7);
    assert_eq!(resend, ResendDecision::Resend(AllowanceShare::new(1)));
    for key in 10..20 {
        let _ = table.open(now, key);
    }
    assert_eq!(table.len(), 2);
}
