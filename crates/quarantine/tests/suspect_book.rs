//! Checks single rules of a suspect book.

use clock::ClockTime;
use lentilshift_quarantine::{
    NewsId, RequestFingerprint, SuspectAction, SuspectBook, SuspectDecision, SuspectNews,
    SuspectSettings,
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

fn book(vm: &str, peers: &[&str]) -> SuspectBook {
    let mut book = SuspectBook::new(SuspectSettings::default(), vm.into());
    book.set_peers(
        peers
            .iter()
            .map(|peer| VmName::from(*peer))
            .collect::<Vec<_>>(),
    );
    book
}

fn crashed(number: u8, run: u128, runner: &str) -> SuspectNews {
    SuspectNews::Crashed {
        fingerprint: request(number),
        attempt: attempt(run),
        runner: runner.into(),
        was_alone: false,
        age_ms: 0,
    }
}

/// Returns a book that has heard of one crash and may run the suspect.
fn runner_of_suspect() -> SuspectBook {
    let mut book = book("vm-1", &["vm-2"]);
    let news = [crashed(1, 1, "vm-1")];
    book.receive(time(0), "vm-2".into(), NewsId(0), &news, &mut Vec::new());
    book
}

#[test]
fn failure_waits_for_every_peer() {
    let mut book = book("vm-1", &["vm-2", "vm-3"]);
    let mut actions = Vec::new();
    assert_eq!(
        book.begin(time(0), request(1), attempt(1), true),
        SuspectDecision::Run
    );
    book.crash(time(1), &mut actions);
    assert!(
        matches!(actions[..], [SuspectAction::Tell(NewsId(0), _)]),
        "{actions:?}"
    );
    actions.clear();
    book.receive_ack(time(2), &"vm-2".into(), NewsId(0), &[], &mut actions);
    assert_eq!(actions, []);
    book.receive_ack(time(3), &"vm-3".into(), NewsId(0), &[], &mut actions);
    let failed = SuspectAction::Fail {
        attempt: attempt(1),
        may_retry: true,
    };
    assert_eq!(actions, [failed]);
}

#[test]
fn failure_does_not_wait_longer_than_the_bound() {
    let mut book = book("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    book.begin(time(0), request(1), attempt(1), true);
    book.crash(time(1), &mut actions);
    assert_eq!(book.next_poll(), Some(time(501)));
    actions.clear();
    book.poll(time(501), &mut actions);
    assert!(
        matches!(actions[..], [SuspectAction::Fail { .. }]),
        "{actions:?}"
    );
}

#[test]
fn suspect_runs_with_nothing_beside_it() {
    let mut book = runner_of_suspect();
    let mut actions = Vec::new();
    assert_eq!(
        book.begin(time(1), request(7), attempt(7), false),
        SuspectDecision::Run
    );
    assert_eq!(
        book.begin(time(2), request(1), attempt(2), false),
        SuspectDecision::Wait
    );
    assert_eq!(
        book.begin(time(3), request(8), attempt(8), false),
        SuspectDecision::Wait
    );
    book.finish(time(4), attempt(7), &mut actions);
    assert_eq!(actions, [SuspectAction::Start(attempt(2))]);
    actions.clear();
    book.finish(time(5), attempt(2), &mut actions);
    assert!(
        actions.contains(&SuspectAction::Start(attempt(8))),
        "{actions:?}"
    );
    assert!(book.list().is_empty(), "a clean run alone clears a suspect");
}

#[test]
fn crash_of_a_suspect_that_ran_alone_is_not_retried_and_quarantines_it() {
    let mut book = runner_of_suspect();
    let mut actions = Vec::new();
    assert_eq!(
        book.begin(time(1), request(1), attempt(2), false),
        SuspectDecision::RunAlone
    );
    book.crash(time(2), &mut actions);
    book.poll(time(900), &mut actions);
    let failed = SuspectAction::Fail {
        attempt: attempt(2),
        may_retry: false,
    };
    assert!(actions.contains(&failed), "{actions:?}");
    assert_eq!(
        book.begin(time(3), request(1), attempt(3), false),
        SuspectDecision::Refuse
    );
}

#[rstest]
#[case::known_runner("vm-2", "vm-2")]
#[case::runner_is_gone("vm-9", "vm-1")]
fn suspect_goes_to_its_runner(#[case] assigned: &str, #[case] runner: &str) {
    let mut book = book("vm-1", if runner == "vm-1" { &[] } else { &["vm-2"] });
    book.take(time(0), &[crashed(1, 1, assigned)], &mut Vec::new());
    let decision = book.begin(time(1), request(1), attempt(2), false);
    let expected = if runner == "vm-1" {
        SuspectDecision::RunAlone
    } else {
        SuspectDecision::SendTo(runner.into())
    };
    assert_eq!(decision, expected);
}

#[test]
fn clean_run_lets_a_request_off_once() {
    let mut book = book("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    book.begin(time(0), request(1), attempt(1), false);
    book.finish(time(1), attempt(1), &mut actions);
    for run in 2..4 {
        assert!(book.list().is_empty());
        book.begin(time(2), request(1), attempt(run), false);
        book.crash(time(3), &mut actions);
    }
    assert_eq!(book.list().len(), 1);
}

#[test]
fn suspicion_decays_and_memory_is_bounded() {
    let settings = SuspectSettings {
        max_suspects: 2,
        suspect_ms: 100,
        ..SuspectSettings::default()
    };
    let mut book = SuspectBook::new(settings, "vm-1".into());
    for number in 0..5 {
        let news = [crashed(number, number.into(), "vm-1")];
        book.take(time(number.into()), &news, &mut Vec::new());
    }
    assert_eq!(book.list().len(), 2);
    book.poll(time(200), &mut Vec::new());
    assert!(book.list().is_empty());
}

#[test]
fn a_withdrawn_attempt_is_neither_suspect_nor_clean() {
    let mut book = book("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    for number in [1, 2] {
        book.begin(time(0), request(number), attempt(number.into()), false);
    }
    book.withdraw(time(1), attempt(1), &mut actions);
    book.crash(time(2), &mut actions);
    assert!(book.list().get(request(1)).is_none(), "suspect");
    assert!(book.list().get(request(2)).is_some());
    book.begin(time(3), request(1), attempt(3), false);
    book.crash(time(4), &mut actions);
    assert!(book.list().get(request(1)).is_some(), "let off as clean");
}

#[test]
fn peers_are_being_told_until_all_have_taken_the_news() {
    let mut book = book("vm-1", &["vm-2"]);
    let mut actions = Vec::new();
    book.begin(time(0), request(1), attempt(1), false);
    book.crash(time(1), &mut actions);
    assert!(book.is_telling(request(1)));
    assert!(!book.is_telling(request(2)));
    let Some(SuspectAction::Tell(id, _)) = actions.first() else {
        panic!("no news is told: {actions:?}");
    };
    book.receive_ack(time(2), &"vm-2".into(), *id, &[], &mut Vec::new());
    assert!(!book.is_telling(request(1)));
}
