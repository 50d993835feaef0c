//! What a node knows of its own backend server holds at once, whatever the log does.

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
    fleet.settle().await;
    fleet
}

/// Waits until the first node says how many VMs take work.
async fn wait_ready(fleet: &Fleet, wanted: u64) {
    for _ in 0..2_000 {
        if fleet.dump(0).await["ready_members"] == wanted {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the node doesn't say that {wanted} VMs take work");
}

/// Sends a call that needs no key, so that no key can be too old for it.
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
async fn a_backend_server_that_is_said_to_be_back_serves(#[case] faults: LogFaults) {
    let fleet = one_filings().await;
    fleet.log.set_faults(faults);
    for round in 0..8 {
        fleet.pairs[0].backend.crash();
        wait_ready(&fleet, 0).await;
        fleet.pairs[0].backend.restart().await.unwrap();
        wait_ready(&fleet, 1).await;
        send_open(&fleet, round).await;
    }
}

#[rstest]
#[compio::test]
async fn a_vm_that_starts_again_gets_work_from_others() {
    let mut fleet = one_filings().await;
    fleet
        .add("registry-1", "registry", BackendSettings::default())
        .await;
    fleet.settle().await;
    for round in 0..3 {
        fleet.pairs.remove(1).node.stop().await;
        fleet
            .add("registry-1", "registry", BackendSettings::default())
            .await;
        fleet.settle().await;
        let answer = fleet.send(0, "GET", "/registry/records/1").await;
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap();
        assert_eq!(status, 200, "round {round}: {text}");
    }
}
