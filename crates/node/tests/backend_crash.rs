//! A request that crashes the backend servers that run it.

mod fleet;

use std::time::Duration;

use compio::time::sleep;
use fleet::Fleet;
use rstest::rstest;
use standin::BackendSettings;

#[rstest]
#[compio::test]
async fn a_request_that_crashes_its_backend_server_crashes_at_most_two() {
    let mut fleet = Fleet::start().await;
    for n in 0..4 {
        let name = format!("filings-{n}");
        fleet
            .add(&name, "filings", BackendSettings::default())
            .await;
    }
    fleet.wait_until_warm().await;
    for round in 0..8 {
        let answer = fleet
            .send(round % 4, "GET", "/filings/filings/1?crash=1")
            .await;
        assert_ne!(answer.status().as_u16(), 200);
        sleep(Duration::from_millis(50)).await;
        for vm in &fleet.vms {
            let _ = vm.backend.restart().await;
        }
        sleep(Duration::from_millis(200)).await;
    }
    let crashes: usize = fleet.vms.iter().map(|vm| vm.backend.crashes()).sum();
    assert!(crashes <= 2, "{crashes} backend servers crashed");
    let answer = fleet.send(0, "GET", "/filings/filings/2").await;
    assert_eq!(answer.status().as_u16(), 200);
}
