//! Signals that reach a node more than once, at once, or before its start has finished.

use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::join_all;
use rstest::rstest;

use crate::platform_fleet::{CallerRequest, PlatformFleet};

/// How long an instance works on each request, in milliseconds.
const RUN_MS: u64 = 700;
/// The time from the first signal to the second.
const SECOND_AFTER: Duration = Duration::from_millis(200);
/// The time within which a signalled process ends by itself: the grace time of the platform.
const GRACE_TIME: Duration = Duration::from_secs(6);
/// The number of pairs of signals.
const PAIRS: u32 = 60;
/// The time by which the second signal of the pairs comes later from one pair to the next.
const PAIR_STEP: Duration = Duration::from_micros(10);

/// Guards against a second signal to stop taking its default action, which ends the process and cuts
/// the running requests.
#[rstest]
#[compio::test]
async fn second_stop_signal_cuts_no_running_request(
    #[values("-TERM", "-INT")] first: &'static str,
    #[values("-TERM", "-INT", "-HUP")] second: &'static str,
) {
    let mut fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(RUN_MS);
    }
    let signalling = async {
        sleep(SECOND_AFTER).await;
        fleet.signal(0, first);
        sleep(SECOND_AFTER).await;
        fleet.signal(0, second);
    };
    let request = CallerRequest {
        key: None,
        ..CallerRequest::new("/open/7")
    };
    let sending = join_all((0..5).map(|_| fleet.try_send(0, &request)));
    let (answers, ()) = futures_util::join!(sending, signalling);
    for answer in answers {
        assert_eq!(answer.expect("the request is answered").status, 200);
    }
    assert!(fleet.end_of(0, GRACE_TIME).await.success());
}

/// Guards against a signal that arrives between two waits for it ending the process.
#[rstest]
#[compio::test]
async fn signals_in_quick_succession_do_not_end_a_node() {
    let fleet = PlatformFleet::start().await;
    for pair in 0..PAIRS {
        fleet.signal_twice(0, "-HUP", PAIR_STEP * pair);
        sleep(Duration::from_millis(20)).await;
        let answer = fleet.try_send(0, &CallerRequest::new("/open/7")).await;
        assert!(answer.is_some(), "no answer after pair {pair}");
    }
}

/// Guards against a signal that arrives before the start has finished ending the process by its
/// default action.
#[rstest]
#[compio::test]
async fn signal_during_the_start_is_handled() {
    let mut fleet = PlatformFleet::start().await;
    fleet.kill(0);
    fleet.spawn(0);
    let until = Instant::now() + GRACE_TIME;
    while !fleet.handles_signals(0) {
        assert!(Instant::now() < until, "the handlers aren't installed");
    }
    fleet.signal(0, "-HUP");
    fleet.signal(0, "-TERM");
    assert!(fleet.end_of(0, GRACE_TIME).await.success());
}
