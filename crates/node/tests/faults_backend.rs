//! Connections to the backend server that go silent for good while new ones work.

mod fleet;

use fleet::Fleet;
use fleet::link_proxy::LinkProxy;
use futures_util::future::join_all;
use lentilshift_node::NodeSettings;
use standin::BackendSettings;

/// The connections that are idle when they go silent.
const IDLE: usize = 6;
/// The requests sent after that, one after the other.
const REQUESTS: usize = 12;
/// The time that a caller gives a request, in milliseconds.
const DEADLINE_MS: &str = "400";

async fn read_record(fleet: &Fleet, number: usize) -> u16 {
    let path = format!("/registry/records/{number}");
    let headers = [("lentilshift-deadline-ms", DEADLINE_MS)];
    let answer = fleet.send_with(0, "GET", &path, &headers).await;
    answer.status().as_u16()
}

#[compio::test]
async fn silent_connections_cost_one_request_in_all_and_not_one_each() {
    let mut fleet = Fleet::start().await;
    let proxy = LinkProxy::start().await;
    let backend = BackendSettings {
        run_ms: 50,
        ..BackendSettings::default()
    };
    let relay = proxy.clone();
    fleet
        .add_with("registry-1", "registry", backend, |settings| {
            relay.set_target(settings.backend_address);
            NodeSettings {
                backend_address: relay.address(),
                ..settings
            }
        })
        .await;
    fleet.settle().await;
    let first = join_all((0..IDLE).map(|number| read_record(&fleet, number))).await;
    assert_eq!(first, [200; IDLE]);

    proxy.silence();
    let mut failed = 0;
    for number in 0..REQUESTS {
        failed += usize::from(read_record(&fleet, number).await != 200);
    }
    assert!(failed <= 1, "{failed} of {REQUESTS} requests failed");
}
