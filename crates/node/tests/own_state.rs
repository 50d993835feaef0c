//! A node acts at once on the state of its own backend server, even during a log outage.

mod fleet;

use std::time::Duration;

use compio::time::sleep;
use fleet::Fleet;
use rstest::rstest;
use standin::{BackendSettings, LogFaults, LogOutage};

async fn one_filings() -> Fleet {
    let mut fleet = Fleet::start().await;
    let backend = BackendSettings::default();
    fleet.add("filings-1", "filings", backend).await;
    fleet.wait_until_warm().await;
    fleet
}

/// Waits until the first node counts this many ready VMs.
async fn wait_ready(fleet: &Fleet, expected: u64) {
    for _ in 0..2_000 {
        if fleet.dump(0).await["ready_members"] == expected {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the node does not count {expected} VMs as ready");
}

/// Sends a call that needs no key, as keys may be stale during a log outage.
async fn send_open(fleet: &Fleet, round: usize) {
    let answer = fleet.send(0, "GET", "/filings/status").await;
    let status = answer.status().as_u16();
    let text = answer.text().await.unwrap();
    assert_eq!(status, 200, "round {round}: {text}");
}

#[rstest]
#[case::well(LogFaults::default())]
#[case::hangs(LogFaults { outage: LogOutage::Hang, ..LogFaults::default() })]
#[compio::test]
async fn a_backend_server_serves_once_its_restart_is_seen(#[case] faults: LogFaults) {
    let fleet = one_filings().await;
    fleet.log.set_faults(faults);
    for round in 0..8 {
        fleet.vms[0].backend.crash();
        wait_ready(&fleet, 0).await;
        fleet.vms[0].backend.restart().await.unwrap();
        wait_ready(&fleet, 1).await;
        send_open(&fleet, round).await;
    }
}

#[rstest]
#[compio::test]
async fn a_restarted_vm_gets_requests_from_other_nodes() {
    let mut fleet = one_filings().await;
    fleet
        .add("registry-1", "registry", BackendSettings::default())
        .await;
    fleet.wait_until_warm().await;
    for round in 0..3 {
        fleet.vms.remove(1).node.stop().await;
        fleet
            .add("registry-1", "registry", BackendSettings::default())
            .await;
        fleet.wait_until_warm().await;
        let answer = fleet.send(0, "GET", "/registry/records/1").await;
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap();
        assert_eq!(status, 200, "round {round}: {text}");
    }
}
