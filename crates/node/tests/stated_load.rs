//! The load that backend servers state in their answers, and calls that move on from full VMs.

mod fleet;
mod scripted;

use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use fleet::Fleet;
use futures_util::future::{join, join_all};
use lentilshift_node::NodeSettings;
use rstest::rstest;
use scripted::{LOAD, REQUEST_ID, ScriptedAnswer, ScriptedBackend, answer_text};
use standin::BackendSettings;

/// Starts the nodes of these backend servers of `filings`, which run two requests at once.
async fn start_fleet(backends: &[Rc<ScriptedBackend>]) -> Fleet {
    let mut fleet = Fleet::start().await;
    for (index, backend) in backends.iter().enumerate() {
        let name = format!("filings-{index}");
        let settings = BackendSettings::default();
        fleet
            .add_with_settings(&name, "filings", settings, |settings| {
                backend.settings(NodeSettings {
                    backend_slots: 2,
                    ..settings
                })
            })
            .await;
    }
    fleet.wait_until_warm().await;
    fleet
}

async fn send(fleet: &Fleet, vm: usize, method: &str, id: &str) -> u16 {
    let headers = [(REQUEST_ID, id), ("lentilshift-deadline-ms", "3000")];
    let answer = fleet.send_admitted(vm, method, "/filings/filings", &headers);
    answer.await.status().as_u16()
}

/// Sends a call whose idempotency key binds it to a VM.
async fn send_bound(fleet: &Fleet, vm: usize, id: &str, key: &str) -> u16 {
    let headers = [(REQUEST_ID, id), ("idempotency-key", key)];
    let answer = fleet.send_admitted(vm, "POST", "/filings/filings", &headers);
    answer.await.status().as_u16()
}

async fn get_text(fleet: &Fleet, vm: usize, page: &str) -> String {
    let address = fleet.vms[vm].node.admin_address();
    let request = fleet.client.get(format!("http://{address}/{page}"));
    request.unwrap().send().await.unwrap().text().await.unwrap()
}

async fn slowness(fleet: &Fleet) -> u64 {
    let dump: serde_json::Value = serde_json::from_str(&get_text(fleet, 0, "dump").await).unwrap();
    dump["load"]["slowness"].as_u64().unwrap()
}

/// Guards against a spoiled or short statement that changes what the node reports.
#[rstest]
#[case::four_figures("1,0,4,250", 250)]
#[case::three_figures("1,0,4", 0)]
#[case::spoiled("1,0,4,slow", 0)]
#[compio::test]
async fn stated_slowness_is_reported(#[case] load: &'static str, #[case] expected: u64) {
    let backend = ScriptedBackend::start(move |request| ScriptedAnswer {
        runs: true,
        bytes: answer_text("200 OK", &request.id, &format!("{LOAD}: {load}\r\n")),
        ..ScriptedAnswer::default()
    });
    let fleet = start_fleet(&[backend.await]).await;
    assert_eq!(send(&fleet, 0, "GET", "first").await, 200);
    assert_eq!(slowness(&fleet).await, expected);
}

/// Guards against a call that moves on and is lost, or runs at both VMs.
#[rstest]
#[compio::test]
async fn calls_of_two_nodes_move_on_and_run_once() {
    let answer = |request: &scripted::ScriptedRequest| ScriptedAnswer {
        runs: true,
        later: answer_text("200 OK", &request.id, &format!("{LOAD}: 1,0,2,100\r\n")),
        ..ScriptedAnswer::default()
    };
    let first = ScriptedBackend::start(answer).await;
    let second = ScriptedBackend::start(answer).await;
    let fleet = start_fleet(&[Rc::clone(&first), Rc::clone(&second)]).await;
    let mut ids = Vec::new();
    for round in 0..12 {
        // The first node learns that both VMs are idle; the second one fills one of them.
        let known: Vec<String> = (0..4)
            .map(|place| format!("known-{round}-{place}"))
            .collect();
        for id in &known {
            assert_eq!(send(&fleet, 0, "GET", id).await, 200);
        }
        let bound: Vec<String> = (0..2)
            .map(|place| format!("bound-{round}-{place}"))
            .collect();
        let free: Vec<String> = (0..1)
            .map(|place| format!("free-{round}-{place}"))
            .collect();
        let key = format!("key-{round}");
        let later = async {
            sleep(Duration::from_millis(15)).await;
            join_all(free.iter().map(|id| send(&fleet, 0, "GET", id))).await
        };
        let filling = join_all(bound.iter().map(|id| send_bound(&fleet, 1, id, &key)));
        let (bound_statuses, free_statuses) = join(filling, later).await;
        assert_eq!(bound_statuses, [200; 2], "round {round}");
        assert_eq!(free_statuses, [200; 1], "round {round}");
        ids.extend(known.into_iter().chain(bound).chain(free));
    }
    let mut moved = 0;
    for vm in 0..2 {
        let page = get_text(&fleet, vm, "metrics").await;
        let mut lines = page.lines();
        let line = lines.find(|line| line.starts_with("lentilshift_moved_calls_total"));
        moved += line
            .and_then(|line| line.split(' ').nth(1)?.parse::<u64>().ok())
            .unwrap();
    }
    assert!(moved > 0, "no call moved on");
    for id in ids {
        assert_eq!(first.runs(&id) + second.runs(&id), 1, "{id}");
    }
}
