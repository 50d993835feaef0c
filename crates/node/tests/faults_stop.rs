//! Planned stops of nodes while requests run.

mod fleet;

use std::cell::Cell;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::{Fleet, KEY};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::{BackendCall, BackendSettings};

/// The time within which the callers of a stopping node move to other nodes.
const CALLER_MOVE_TIME: Duration = Duration::from_secs(1);
/// The time after which a leaving backend server gets no new requests.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// The maximum duration of a stop whose last call takes 4 s.
const STOP_LIMIT: Duration = Duration::from_secs(30);

async fn chain() -> Fleet {
    let mut fleet = Fleet::start().await;
    let calls = vec![BackendCall {
        method: "GET".parse().unwrap(),
        path: "/registry/records/7?ms=5".into(),
    }];
    for name in ["filings-1", "filings-2", "filings-3"] {
        let settings = BackendSettings {
            calls: calls.clone(),
            run_ms: 5,
            ..BackendSettings::default()
        };
        fleet.add(name, "filings", settings).await;
    }
    for name in ["registry-1", "registry-2", "registry-3"] {
        let settings = BackendSettings::default();
        fleet.add(name, "registry", settings).await;
    }
    fleet.wait_until_warm().await;
    fleet
}

/// Sends uploads over one client until `is_over` is set, and returns how many were answered.
///
/// Asserts that each answer reports the complete upload and a successful downstream call.
async fn send_until(fleet: &Fleet, node: usize, is_over: &Cell<bool>) -> usize {
    let client = cyper::Client::new().unwrap();
    let address = fleet.vms[node].node.caller_address();
    let mut count = 0;
    while !is_over.get() {
        let url = format!("http://{address}/filings/filings/{count}");
        let request = client.post(url).unwrap();
        let request = request.header("authorization", format!("Bearer {KEY}"));
        let request = request.unwrap().body(vec![b'u'; 40_000]);
        let answer = request.send().await.unwrap();
        let status = answer.status().as_u16();
        if status == 429 {
            assert_eq!(answer.headers()["lentilshift-verdict"], "not-run");
            sleep(Duration::from_millis(20)).await;
            continue;
        }
        let text = answer.text().await.unwrap();
        assert_eq!(status, 200, "{text}");
        assert!(text.contains(r#""below":[200]"#), "{text}");
        assert!(text.contains(r#""uploaded_bytes":40000"#), "{text}");
        count += 1;
        sleep(Duration::from_millis(5)).await;
    }
    count
}

#[rstest]
#[case(1)]
#[case(2)]
#[compio::test]
async fn planned_stops_in_any_order_interrupt_no_request(#[case] seed: u64) {
    let fleet = chain().await;
    let mut random = SmallRng::seed_from_u64(seed);
    let is_over: [Cell<bool>; 6] = Default::default();
    let mut stopping = vec![0, 1, 3, 4];
    stopping.shuffle(&mut random);
    let stops = async {
        for node_index in stopping {
            sleep(Duration::from_millis(random.random_range(0..300))).await;
            let slow = format!("/filings/filings/slow?ms={}", random.random_range(0..4_000));
            let (slow, ()) =
                futures_util::join!(fleet.send_admitted(node_index, "GET", &slow, &[]), async {
                    sleep(Duration::from_millis(30)).await;
                    let started = Instant::now();
                    let moving = async {
                        sleep(CALLER_MOVE_TIME).await;
                        is_over[node_index].set(true);
                    };
                    futures_util::join!(fleet.vms[node_index].node.stop(), moving);
                    assert!(
                        started.elapsed() < STOP_LIMIT,
                        "the stop waited for idle connections"
                    );
                });
            assert_eq!(slow.status().as_u16(), 200);
        }
        for node in &is_over {
            node.set(true);
        }
    };
    let senders = (0..6).map(|node| send_until(&fleet, node, &is_over[node]));
    let (counts, ()) = futures_util::join!(futures_util::future::join_all(senders), stops);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

#[rstest]
#[case::stop(false)]
#[case::drain(true)]
#[compio::test]
async fn a_leaving_backend_server_gets_no_new_requests(#[case] is_drain: bool) {
    let fleet = chain().await;
    let is_over = Cell::new(false);
    let leaving = async {
        sleep(Duration::from_millis(300)).await;
        let vm = &fleet.vms[3];
        let started = Instant::now();
        if is_drain {
            let url = format!("http://{}/leave", vm.node.admin_address());
            let answer = fleet.client.post(url).unwrap().send().await.unwrap();
            assert_eq!(answer.status().as_u16(), 200);
        } else {
            vm.node.stop().await;
        }
        sleep(LEAVE_TIME.saturating_sub(started.elapsed())).await;
        let runs = vm.backend.record().entries().len();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(vm.backend.record().entries().len(), runs);
        is_over.set(true);
    };
    let senders = (0..3).map(|node| send_until(&fleet, node, &is_over));
    futures_util::join!(futures_util::future::join_all(senders), leaving);
}
