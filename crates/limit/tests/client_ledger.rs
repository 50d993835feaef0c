//! What a node holds for crowds of clients that don't keep to the limits, by the count of a ledger.

use clock::ClockTime;
use lentilshift_limit::{ClientId, ClientLedger, ClientLimits, ClientPort, CloseReason};
use rstest::rstest;

const PORT: ClientPort = ClientPort::Callers;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Returns the limits of a small VM.
fn small_limits() -> ClientLimits {
    ClientLimits::default().for_vm(Some(16 << 20), Some(400))
}

/// Opens a connection and closes those that have to give way; returns it unless it is among them.
fn open(ledger: &mut ClientLedger, now: ClockTime) -> Option<ClientId> {
    let client = ledger.open(now, PORT);
    let closed = close_excess(ledger, now);
    (!closed.contains(&(client, CloseReason::Refused))).then_some(client)
}

fn close_excess(ledger: &mut ClientLedger, now: ClockTime) -> Vec<(ClientId, CloseReason)> {
    let mut closed = Vec::new();
    while let Some(closure) = ledger.next_closure(now, PORT) {
        ledger.close(closure.client);
        closed.push((closure.client, closure.reason));
    }
    closed
}

/// Starts a request with a body of which `bytes` bytes arrive; returns whether they are held. A
/// request that is refused is answered at once.
fn send_body(ledger: &mut ClientLedger, now: ClockTime, client: ClientId, bytes: u64) -> bool {
    ledger.receive(now, client, 200);
    let is_held = ledger.start_request(now, client, true) && ledger.hold(Some(client), bytes);
    if is_held {
        ledger.receive(now, client, bytes);
    } else {
        ledger.end_request(now, client, true);
    }
    ledger.await_read(now, client);
    is_held
}

/// Guards against a crowd that stops short of the ends of its bodies holding more than the total, or
/// keeping an ordinary request from being served.
#[rstest]
#[case::small(1_000)]
#[case::medium(60_000)]
#[case::large(500_000)]
fn unfinished_bodies_leave_room_for_an_ordinary_request(#[case] bytes: u64) {
    let limits = small_limits();
    let connections = limits.connections_at(PORT);
    let idle_bytes = connections as u64 * limits.connection_bytes;
    let most = limits.total_bytes + limits.reserve_bytes + idle_bytes;
    let mut ledger = ClientLedger::new(limits);
    for number in 0..3_000 {
        let now = at(number * 2);
        if let Some(client) = open(&mut ledger, now) {
            let _ = send_body(&mut ledger, now, client, bytes);
        }
        assert!(ledger.held_bytes() <= most, "{} bytes", ledger.held_bytes());
        assert!(ledger.connections() <= connections);
    }
    let now = at(3_000 * 2 + limits.short_wait_ms);
    let caller = open(&mut ledger, now).expect("the connection is kept");
    ledger.receive(now, caller, 200);
    assert!(ledger.start_request(now, caller, false));
}

#[rstest]
fn all_is_released_when_connections_close() {
    let mut ledger = ClientLedger::new(small_limits());
    let clients: Vec<ClientId> = (0..20).filter_map(|_| open(&mut ledger, at(0))).collect();
    for client in &clients {
        assert!(send_body(&mut ledger, at(1), *client, 10_000));
    }
    assert!(ledger.hold(None, 5_000));
    for client in clients {
        ledger.close(client);
        ledger.release(Some(client), 10_000);
    }
    ledger.release(None, 5_000);
    assert_eq!(ledger.held_bytes(), 0);
    assert_eq!(ledger.connections(), 0);
}

#[rstest]
fn answered_requests_are_released() {
    let mut ledger = ClientLedger::new(small_limits());
    let client = open(&mut ledger, at(0)).expect("the connection is kept");
    let idle_bytes = ledger.held_bytes();
    for number in 0..100 {
        let now = at(number);
        assert!(send_body(&mut ledger, now, client, 60_000));
        ledger.end_body(now, client);
        ledger.release(Some(client), 60_000);
        ledger.end_request(now, client, false);
        assert_eq!(ledger.held_bytes(), idle_bytes);
    }
}

/// Guards against closing the connection of a client that the node itself keeps waiting.
#[rstest]
fn request_at_work_is_never_closed() {
    let limits = small_limits();
    let mut ledger = ClientLedger::new(limits);
    let working: Vec<ClientId> = (0..limits.connections_at(PORT))
        .filter_map(|_| open(&mut ledger, at(0)))
        .collect();
    for client in &working {
        ledger.receive(at(0), *client, 200);
        assert!(ledger.start_request(at(0), *client, false));
        ledger.await_read(at(0), *client);
    }
    for ms in (0..120_000).step_by(1_000) {
        assert_eq!(open(&mut ledger, at(ms)), None, "no place is free");
        assert_eq!(ledger.overdue(at(ms)), []);
    }
    assert_eq!(ledger.connections(), working.len());
}

/// Guards against a client that sends byte by byte counting as one that makes progress.
#[rstest]
#[case::head(false, CloseReason::SlowHead)]
#[case::body(true, CloseReason::SlowSender)]
fn slow_sender_is_closed_in_the_end(#[case] has_request: bool, #[case] reason: CloseReason) {
    let limits = small_limits();
    let mut ledger = ClientLedger::new(limits);
    let client = open(&mut ledger, at(0)).expect("the connection is kept");
    if has_request {
        assert!(send_body(&mut ledger, at(0), client, 10));
    }
    let mut closed_at = None;
    for ms in (0..60_000).step_by(100) {
        ledger.receive(at(ms), client, 1);
        ledger.await_read(at(ms), client);
        let overdue = ledger.overdue(at(ms + 50));
        if let Some(closure) = overdue.first() {
            assert_eq!(closure.reason, reason);
            closed_at = Some(ms);
            break;
        }
    }
    let limit_ms = if has_request {
        limits.long_wait_ms
    } else {
        limits.head_ms
    };
    let closed_at = closed_at.expect("the client is closed");
    assert!(
        (limit_ms - 100..limit_ms + 200).contains(&closed_at),
        "{closed_at} ms"
    );
}

/// Guards against limits that a client within those of the operators meets in calm: it may pause for
/// 15 s and takes 3 s for a head.
#[rstest]
fn client_within_the_limits_of_operators_is_never_closed() {
    let mut ledger = ClientLedger::new(small_limits());
    let client = open(&mut ledger, at(0)).expect("the connection is kept");
    let mut now = 0;
    for _ in 0..20 {
        ledger.await_read(at(now), client);
        now += 12_000;
        assert_eq!(ledger.overdue(at(now)), []);
        ledger.receive(at(now), client, 100);
        ledger.await_read(at(now), client);
        now += 3_000;
        assert_eq!(ledger.overdue(at(now)), []);
        assert!(send_body(&mut ledger, at(now), client, 2_000));
        now += 15_000;
        assert_eq!(ledger.overdue(at(now)), []);
        ledger.receive(at(now), client, 2_000);
        ledger.end_body(at(now), client);
        ledger.release(Some(client), 2_000);
        ledger.await_write(at(now), client);
        now += 15_000;
        assert_eq!(ledger.overdue(at(now)), []);
        ledger.send(at(now), client, 2_000);
        ledger.end_request(at(now), client, false);
        assert!(close_excess(&mut ledger, at(now)).is_empty());
    }
}

#[rstest]
fn crowd_at_one_port_leaves_the_others_their_connections() {
    let limits = small_limits();
    let mut ledger = ClientLedger::new(limits);
    for _ in 0..1_000 {
        let _ = open(&mut ledger, at(0));
    }
    for port in [
        ClientPort::Admin,
        ClientPort::Reports,
        ClientPort::Peers,
        ClientPort::Egress,
    ] {
        ledger.open(at(0), port);
        assert_eq!(ledger.next_closure(at(0), port), None, "{port:?}");
    }
}

#[rstest]
fn those_that_hold_most_are_closed_first() {
    let limits = ClientLimits {
        total_bytes: 200_000,
        ..small_limits()
    };
    let mut ledger = ClientLedger::new(limits);
    let idle = open(&mut ledger, at(0)).expect("the connection is kept");
    let small = open(&mut ledger, at(0)).expect("the connection is kept");
    let large = open(&mut ledger, at(0)).expect("the connection is kept");
    assert!(send_body(&mut ledger, at(0), small, 1_000));
    assert!(send_body(&mut ledger, at(0), large, 80_000));
    ledger.await_read(at(0), idle);
    let closed = close_excess(&mut ledger, at(limits.short_wait_ms));
    assert_eq!(closed, [(large, CloseReason::SlowSender)]);
}
