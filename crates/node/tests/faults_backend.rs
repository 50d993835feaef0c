//! Connections to the backend server that stall without closing, while new connections work.

mod fleet;

use fleet::Fleet;
use fleet::link_proxy::LinkProxy;
use futures_util::future::join_all;
use lentilshift_node::NodeSettings;
use standin::BackendSettings;

/// The number of idle connections that stall.
const IDLE_CONNECTIONS: usize = 6;
/// The number of requests sent after the stall, in sequence.
const REQUESTS: usize = 12;
/// The deadline of a request, in milliseconds.
const DEADLINE_MS: &str = "400";

async fn read_record(fleet: &Fleet, number: usize) -> u16 {
    let path = format!("/registry/records/{number}");
    let headers = [("lentilshift-deadline-ms", DEADLINE_MS)];
    let answer = fleet.send_with(0, "GET", &path, &headers).await;
    answer.status().as_u16()
}

#[compio::test]
async fn stalled_connections_fail_at_most_one_request_in_total() {
    let mut fleet = Fleet::start().await;
    let proxy = LinkProxy::start().await;
    let backend = BackendSettings {
        run_ms: 50,
        ..BackendSettings::default()
    };
    let relay = proxy.clone();
    fleet
        .add_with_settings("registry-1", "registry", backend, |settings| {
            relay.set_target(settings.backend_address);
            NodeSettings {
                backend_address: relay.address(),
                ..settings
            }
        })
        .await;
    fleet.wait_until_warm().await;
    let first = join_all((0..IDLE_CONNECTIONS).map(|number| read_record(&fleet, number))).await;
    assert_eq!(first, [200; IDLE_CONNECTIONS]);

    proxy.silence();
    let mut failed = 0;
    for number in 0..REQUESTS {
        failed += usize::from(read_record(&fleet, number).await != 200);
    }
    assert!(failed <= 1, "{failed} of {REQUESTS} requests failed");
}
