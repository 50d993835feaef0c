//! Which backend server runs beside a node, by what it says of itself, late or not.

use clock::ClockTime;
use lentilshift_member::{BackendName, BackendNotice, BackendReport, BackendWatch, NoticeOutcome};
use rstest::rstest;

const ADDRESS: &str = "10.0.0.1:80";

fn watch() -> BackendWatch {
    BackendWatch::new("registry".into(), ADDRESS.parse().unwrap())
}

fn report(backend: &str, started_at_ms: u64, sequence: u64, is_leaving: bool) -> BackendReport {
    BackendReport {
        backend: BackendName::new(backend),
        service: "registry".into(),
        address: ADDRESS.parse().unwrap(),
        started_at_ms,
        sequence,
        is_leaving,
        slots: 31,
    }
}

fn say(watch: &mut BackendWatch, report: BackendReport) -> NoticeOutcome {
    watch.apply(ClockTime::from_ms(1_000), &BackendNotice::Report(report))
}

fn open(watch: &BackendWatch) -> Option<&str> {
    watch.accepting().map(BackendName::as_str)
}

#[test]
fn node_that_has_heard_nothing_sends_nothing() {
    assert_eq!(open(&watch()), None);
    assert_eq!(watch().reachable(ClockTime::ZERO, 1_000), None);
}

#[test]
fn leave_is_kept_against_late_reports() {
    let mut watch = watch();
    say(&mut watch, report("i-1", 5, 3, false));
    assert_eq!(
        say(&mut watch, report("i-1", 5, 5, true)),
        NoticeOutcome::Changed
    );
    assert_eq!(
        say(&mut watch, report("i-1", 5, 4, false)),
        NoticeOutcome::Late
    );
    assert_eq!(
        say(&mut watch, report("i-1", 5, 6, false)),
        NoticeOutcome::Known
    );
    assert_eq!(open(&watch), None);
}

#[test]
fn calls_let_in_before_a_leave_may_still_be_sent_for_a_while() {
    let mut watch = watch();
    say(&mut watch, report("i-1", 5, 1, true));
    let name = watch.reachable(ClockTime::from_ms(1_999), 1_000);
    assert_eq!(name.map(BackendName::as_str), Some("i-1"));
    assert_eq!(watch.reachable(ClockTime::from_ms(2_000), 1_000), None);
}

#[rstest]
#[case("i-2", 9, NoticeOutcome::Started, Some("i-2"))]
#[case("i-1", 9, NoticeOutcome::Started, Some("i-1"))]
#[case("i-2", 4, NoticeOutcome::Late, Some("i-1"))]
#[case("i-1", 4, NoticeOutcome::Late, Some("i-1"))]
fn only_a_later_start_takes_the_place(
    #[case] backend: &str,
    #[case] started_at_ms: u64,
    #[case] outcome: NoticeOutcome,
    #[case] present: Option<&str>,
) {
    let mut watch = watch();
    say(&mut watch, report("i-1", 5, 7, false));
    assert_eq!(
        say(&mut watch, report(backend, started_at_ms, 1, false)),
        outcome
    );
    assert_eq!(open(&watch), present);
}

#[test]
fn start_under_the_same_name_after_a_leave_is_open() {
    let mut watch = watch();
    say(&mut watch, report("i-1", 5, 7, true));
    assert_eq!(
        say(&mut watch, report("i-1", 9, 1, false)),
        NoticeOutcome::Started
    );
    assert_eq!(open(&watch), Some("i-1"));
}

#[test]
fn other_service_or_address_changes_nothing() {
    let mut watch = watch();
    let elsewhere = BackendReport {
        address: "10.0.0.2:80".parse().unwrap(),
        ..report("i-1", 5, 1, false)
    };
    assert_eq!(say(&mut watch, elsewhere), NoticeOutcome::Foreign);
    let other = BackendReport {
        service: "archive".into(),
        ..report("i-1", 5, 1, false)
    };
    assert_eq!(say(&mut watch, other), NoticeOutcome::Foreign);
    assert_eq!(open(&watch), None);
}

#[test]
fn node_that_starts_after_a_goodbye_takes_no_late_report_for_a_return() {
    let mut watch = watch();
    let gone = BackendNotice::Gone(BackendName::new("i-1"));
    assert_eq!(
        watch.apply(ClockTime::from_ms(900), &gone),
        NoticeOutcome::Late
    );
    say(&mut watch, report("i-1", 5, 9, false));
    assert_eq!(open(&watch), None);
    say(&mut watch, report("i-2", 6, 1, false));
    assert_eq!(open(&watch), Some("i-2"));
}

#[test]
fn another_backend_server_at_the_address_is_not_sent_to() {
    let mut watch = watch();
    say(&mut watch, report("i-1", 5, 9, false));
    watch.forget("i-0");
    assert_eq!(open(&watch), Some("i-1"));
    watch.forget("i-1");
    assert_eq!(open(&watch), None);
}
