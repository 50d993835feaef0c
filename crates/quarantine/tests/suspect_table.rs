//! Checks single rules of the suspect table.

use clock::ClockTime;
use lentilshift_quarantine::{
    RequestFingerprint, SuspectAction, SuspectDecision, SuspectSettings, SuspectTable,
    SuspectUpdate, UpdateId,
};
use model::{AttemptId, VmName};
use rstest::rstest;

fn time(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint::new(&"team".into(), &"file".into(), &[number])
}

fn attempt(number: u128) -> AttemptId {
    AttemptId::from_random(number)
}

fn table(vm: &str, peers: &[&str]) -> SuspectTable {
    let mut table = SuspectTable::new(SuspectSettings::default(), vm.into());
    table.set_peers(
        peers
            .iter()
            .map(|peer| VmName::from(*peer))
            .collect::<Vec<_>>(),
    );
    table
}

fn crashed(number: u8, run: u128, runner: &str) -> SuspectUpdate {
    SuspectUpdate::Crashed {
        fingerprint: request(number),
        attempt: attempt(run),
        runner: runner.into(),
        was_alone: false,
        age_ms: 0,
    }
}

/// Returns a table that knows one suspect and is assigned to run it.
fn runner_of_suspect() -> SuspectTable {
    let mut table = table("vm-1", &["vm-2"]);
    let updates = [crashed(1, 1, "vm-1")];
    table.receive(
        time(0),
        "vm-2".into(),
        UpdateId(0),
        &updates,
        &mut Vec::new(),
    );
    table
}

#[test]
fn failure_is_deferred_until_every_peer_acknowledges() {
    let mut table = table("vm-1", &["vm-2", "vm-3"]);
    let mut actions = Vec::new();
    assert_eq!(
        table.begin(time(0), request(1), attempt(1), true),
        SuspectDecision::Run
    );
    table.crash(time(1), &mut actions);
    assert!(
        matches!(actions[..], [SuspectAction::Notify(UpdateId(0), _)]),
        "{actions:?}"
    );
    actions.clear();
    table.receive_ack(time(2), &"vm-2".into(), UpdateId(0), &[], &mut actions);
    assert_eq!(actions, []);
    table.receive_ack(time(3), &"vm-3".into(), UpdateId(0), &[], &mut actions);
    let failed = SuspectAction::Fail {
        attempt: attempt(1),
        may_retry: true,
    };
    assert_eq!(actions, [failed]);
}

#[test]
fn failure_is_answered_after_the_timeout() {
    let mut table = table("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    table.begin(time(0), request(1), attempt(1), true);
    table.crash(time(1), &mut actions);
    assert_eq!(table.next_poll(), Some(time(501)));
    actions.clear();
    table.poll(time(501), &mut actions);
    assert!(
        matches!(actions[..], [SuspectAction::Fail { .. }]),
        "{actions:?}"
    );
}

#[test]
fn suspect_runs_alone() {
    let mut table = runner_of_suspect();
    let mut actions = Vec::new();
    assert_eq!(
        table.begin(time(1), request(7), attempt(7), false),
        SuspectDecision::Run
    );
    assert_eq!(
        table.begin(time(2), request(1), attempt(2), false),
        SuspectDecision::Wait
    );
    assert_eq!(
        table.begin(time(3), request(8), attempt(8), false),
        SuspectDecision::Wait
    );
    table.finish(time(4), attempt(7), &mut actions);
    assert_eq!(actions, [SuspectAction::Start(attempt(2))]);
    actions.clear();
    table.finish(time(5), attempt(2), &mut actions);
    assert!(
        actions.contains(&SuspectAction::Start(attempt(8))),
        "{actions:?}"
    );
    assert!(
        table.list().is_empty(),
        "a run alone without a crash clears a suspect"
    );
}

#[test]
fn crash_of_a_suspect_that_ran_alone_is_not_retried_and_quarantines_it() {
    let mut table = runner_of_suspect();
    let mut actions = Vec::new();
    assert_eq!(
        table.begin(time(1), request(1), attempt(2), false),
        SuspectDecision::RunAlone
    );
    table.crash(time(2), &mut actions);
    table.poll(time(900), &mut actions);
    let failed = SuspectAction::Fail {
        attempt: attempt(2),
        may_retry: false,
    };
    assert!(actions.contains(&failed), "{actions:?}");
    assert_eq!(
        table.begin(time(3), request(1), attempt(3), false),
        SuspectDecision::Refuse
    );
}

#[rstest]
#[case::known_runner("vm-2", "vm-2")]
#[case::runner_is_gone("vm-9", "vm-1")]
fn suspect_goes_to_its_runner(#[case] assigned: &str, #[case] runner: &str) {
    let mut table = table("vm-1", if runner == "vm-1" { &[] } else { &["vm-2"] });
    table.apply(time(0), &[crashed(1, 1, assigned)], &mut Vec::new());
    let decision = table.begin(time(1), request(1), attempt(2), false);
    let expected = if runner == "vm-1" {
        SuspectDecision::RunAlone
    } else {
        SuspectDecision::SendTo(runner.into())
    };
    assert_eq!(decision, expected);
}

#[test]
fn clean_run_exempts_a_request_once() {
    let mut table = table("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    table.begin(time(0), request(1), attempt(1), false);
    table.finish(time(1), attempt(1), &mut actions);
    for run in 2..4 {
        assert!(table.list().is_empty());
        table.begin(time(2), request(1), attempt(run), false);
        table.crash(time(3), &mut actions);
    }
    assert_eq!(table.list().len(), 1);
}

#[test]
fn suspects_expire_and_their_number_is_limited() {
    let settings = SuspectSettings {
        max_suspects: 2,
        suspect_ms: 100,
        ..SuspectSettings::default()
    };
    let mut table = SuspectTable::new(settings, "vm-1".into());
    for number in 0..5 {
        let updates = [crashed(number, number.into(), "vm-1")];
        table.apply(time(number.into()), &updates, &mut Vec::new());
    }
    assert_eq!(table.list().len(), 2);
    table.poll(time(200), &mut Vec::new());
    assert!(table.list().is_empty());
}

#[test]
fn a_withdrawn_attempt_is_neither_suspect_nor_clean() {
    let mut table = table("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    for number in [1, 2] {
        table.begin(time(0), request(number), attempt(number.into()), false);
    }
    table.withdraw(time(1), attempt(1), &mut actions);
    table.crash(time(2), &mut actions);
    assert!(table.list().get(request(1)).is_none(), "suspect");
    assert!(table.list().get(request(2)).is_some());
    table.begin(time(3), request(1), attempt(3), false);
    table.crash(time(4), &mut actions);
    assert!(
        table.list().get(request(1)).is_some(),
        "a withdrawn attempt counts as a clean run"
    );
}

#[test]
fn peers_are_being_notified_until_all_have_acknowledged() {
    let mut table = table("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    table.begin(time(0), request(1), attempt(1), false);
    table.crash(time(1), &mut actions);
    assert!(table.is_notifying(request(1)));
    assert!(!table.is_notifying(request(2)));
    let Some(SuspectAction::Notify(id, _)) = actions.first() else {
        panic!("no update is sent: {actions:?}");
    };
    table.receive_ack(time(2), &"vm-2".into(), *id, &[], &mut Vec::new());
    assert!(!table.is_notifying(request(1)));
}
