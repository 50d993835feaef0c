//! The platform's log is down or slow, or its replies are lost.

mod fleet;

use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::{Fleet, KEY};
use rstest::rstest;
use standin::{BackendSettings, LogFaults, LogOutage};
use streams::{ConfigRecord, KeyDigest};

/// The time within which a withdrawn key must stop working.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

async fn two_filings() -> Fleet {
    let mut fleet = Fleet::start().await;
    for name in ["filings-1", "filings-2"] {
        let backend = BackendSettings::default();
        fleet.add(name, "filings", backend).await;
    }
    fleet.wait_until_warm().await;
    fleet
}

#[rstest]
#[case::refuses(LogOutage::Refuse)]
#[case::hangs(LogOutage::Hang)]
#[compio::test]
async fn an_outage_refuses_only_once_calls(#[case] outage: LogOutage) {
    let fleet = two_filings().await;
    fleet.log.set_faults(LogFaults {
        outage,
        ..LogFaults::default()
    });
    let headers = [("idempotency-key", "out"), ("x-trace", "out")];
    let charge = fleet.send_admitted(0, "POST", "/filings/charges", &headers);
    let reads = async {
        for n in 0..60 {
            let answer = fleet
                .send_admitted(n % 2, "GET", "/filings/filings/1", &[])
                .await;
            assert_eq!(answer.status().as_u16(), 200, "read {n}");
            sleep(Duration::from_millis(50)).await;
        }
    };
    let (charge, ()) = futures_util::join!(charge, reads);
    assert_eq!(charge.status().as_u16(), 503);
    assert_eq!(charge.headers()["lentilshift-verdict"], "not-run");
    assert!(charge.headers().contains_key("retry-after"));
    assert_eq!(fleet.runs("out"), 0);
    fleet.log.set_faults(LogFaults::default());
    let mut status = 0;
    for _ in 0..100 {
        let headers = [("idempotency-key", "back"), ("x-trace", "back")];
        let answer = fleet
            .send_admitted(1, "POST", "/filings/charges", &headers)
            .await;
        status = answer.status().as_u16();
        if status == 200 {
            break;
        }
        assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(status, 200, "once calls are refused after the outage");
    assert_eq!(fleet.runs("back"), 1);
}

#[rstest]
#[compio::test]
async fn a_lost_reply_of_the_log_causes_no_second_run() {
    let fleet = two_filings().await;
    fleet.log.set_faults(LogFaults {
        lose_append_replies: true,
        ..LogFaults::default()
    });
    for (n, key) in ["l1", "l2", "l3", "l4"].into_iter().enumerate() {
        let headers = [("idempotency-key", key), ("x-trace", key)];
        for node in [n % 2, (n + 1) % 2] {
            let answer = fleet
                .send_admitted(node, "POST", "/filings/charges", &headers)
                .await;
            assert_eq!(answer.status().as_u16(), 200);
        }
        assert_eq!(fleet.runs(key), 1);
    }
}

#[rstest]
#[case::well(LogFaults::default())]
#[case::slow(LogFaults { read_delay_ms: 1_500, ..LogFaults::default() })]
#[case::reply_lost(LogFaults { lose_append_replies: true, ..LogFaults::default() })]
#[compio::test]
async fn a_withdrawn_key_is_refused_on_an_open_connection(#[case] faults: LogFaults) {
    let fleet = two_filings().await;
    let address = fleet.vms[0].node.caller_address();
    let client = cyper::Client::new().unwrap();
    let send = async || {
        let url = format!("http://{address}/filings/filings/1");
        let request = client.get(url).unwrap();
        let request = request.header("x-api-key", KEY).unwrap();
        let answer = request.send().await.unwrap();
        let status = answer.status().as_u16();
        let _ = answer.bytes().await;
        status
    };
    while send().await == 429 {}
    fleet.log.set_faults(faults);
    let withdraw = ConfigRecord::Withdraw {
        digest: KeyDigest::of_key(KEY.as_bytes()),
    };
    fleet.append_ignoring_reply(&withdraw, 3).await;
    let withdrawn = Instant::now();
    while send().await != 401 {
        assert!(withdrawn.elapsed() < WITHDRAWAL_LIMIT, "{faults:?}");
        sleep(Duration::from_millis(20)).await;
    }
    println!("withdrawn after {:?}", withdrawn.elapsed());
}
