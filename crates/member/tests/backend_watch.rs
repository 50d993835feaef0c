//! Tracking of the backend server beside a node from its reports, including late ones.

use clock::ClockTime;
use lentilshift_member::{
    BackendName, BackendNotice, BackendReport, BackendWatch, DepartedBackend, NoticeOutcome,
};
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
        cold_ms: None,
    }
}

fn report_to(watch: &mut BackendWatch, report: BackendReport) -> NoticeOutcome {
    watch.apply(ClockTime::from_ms(1_000), &BackendNotice::Report(report))
}

fn accepting(watch: &BackendWatch) -> Option<&str> {
    watch.accepting().map(BackendName::as_str)
}

#[test]
fn node_without_reports_sends_nothing() {
    assert_eq!(accepting(&watch()), None);
    assert_eq!(watch().reachable(ClockTime::ZERO, 1_000), None);
}

#[test]
fn leaving_state_survives_late_reports() {
    let mut watch = watch();
    report_to(&mut watch, report("i-1", 5, 3, false));
    assert_eq!(
        report_to(&mut watch, report("i-1", 5, 5, true)),
        NoticeOutcome::Changed
    );
    assert_eq!(
        report_to(&mut watch, report("i-1", 5, 4, false)),
        NoticeOutcome::Late
    );
    assert_eq!(
        report_to(&mut watch, report("i-1", 5, 6, false)),
        NoticeOutcome::Known
    );
    assert_eq!(accepting(&watch), None);
}

#[test]
fn calls_admitted_before_a_leave_may_still_be_sent_within_the_grace_time() {
    let mut watch = watch();
    report_to(&mut watch, report("i-1", 5, 1, true));
    let name = watch.reachable(ClockTime::from_ms(1_999), 1_000);
    assert_eq!(name.map(BackendName::as_str), Some("i-1"));
    assert_eq!(watch.reachable(ClockTime::from_ms(2_000), 1_000), None);
}

#[rstest]
#[case("i-2", 9, NoticeOutcome::Started, Some("i-2"))]
#[case("i-1", 9, NoticeOutcome::Started, Some("i-1"))]
#[case("i-2", 4, NoticeOutcome::Late, Some("i-1"))]
#[case("i-1", 4, NoticeOutcome::Late, Some("i-1"))]
fn only_a_later_start_replaces_the_current_one(
    #[case] backend: &str,
    #[case] started_at_ms: u64,
    #[case] outcome: NoticeOutcome,
    #[case] current: Option<&str>,
) {
    let mut watch = watch();
    report_to(&mut watch, report("i-1", 5, 7, false));
    assert_eq!(
        report_to(&mut watch, report(backend, started_at_ms, 1, false)),
        outcome
    );
    assert_eq!(accepting(&watch), current);
}

#[test]
fn start_under_the_same_name_after_a_leave_accepts_calls() {
    let mut watch = watch();
    report_to(&mut watch, report("i-1", 5, 7, true));
    assert_eq!(
        report_to(&mut watch, report("i-1", 9, 1, false)),
        NoticeOutcome::Started
    );
    assert_eq!(accepting(&watch), Some("i-1"));
}

#[test]
fn other_service_or_address_changes_nothing() {
    let mut watch = watch();
    let elsewhere = BackendReport {
        address: "10.0.0.2:80".parse().unwrap(),
        ..report("i-1", 5, 1, false)
    };
    assert_eq!(report_to(&mut watch, elsewhere), NoticeOutcome::Foreign);
    let other = BackendReport {
        service: "archive".into(),
        ..report("i-1", 5, 1, false)
    };
    assert_eq!(report_to(&mut watch, other), NoticeOutcome::Foreign);
    assert_eq!(accepting(&watch), None);
}

#[test]
fn late_report_after_a_departure_does_not_reopen_the_backend_server() {
    let mut watch = watch();
    let departure = BackendNotice::Gone(BackendName::new("i-1"));
    assert_eq!(
        watch.apply(ClockTime::from_ms(900), &departure),
        NoticeOutcome::Late
    );
    report_to(&mut watch, report("i-1", 5, 9, false));
    assert_eq!(accepting(&watch), None);
    report_to(&mut watch, report("i-2", 6, 1, false));
    assert_eq!(accepting(&watch), Some("i-2"));
}

#[test]
fn forgotten_backend_server_gets_no_calls() {
    let mut watch = watch();
    report_to(&mut watch, report("i-1", 5, 9, false));
    watch.forget("i-0");
    assert_eq!(accepting(&watch), Some("i-1"));
    watch.forget("i-1");
    assert_eq!(accepting(&watch), None);
}

/// A backend server said in its answers that it left, and a report from before that kept it in use.
#[test]
fn statement_of_leaving_holds_until_another_start() {
    let mut watch = watch();
    let now = ClockTime::from_ms(1_000);
    assert!(
        !watch.mark_leaving(now, &BackendName::new("i-1")),
        "unknown"
    );
    report_to(&mut watch, report("i-1", 5, 3, false));
    assert!(
        !watch.mark_leaving(now, &BackendName::new("i-0")),
        "another one"
    );
    assert_eq!(accepting(&watch), Some("i-1"));
    assert!(watch.mark_leaving(now, &BackendName::new("i-1")));
    assert!(!watch.mark_leaving(now, &BackendName::new("i-1")), "known");
    report_to(&mut watch, report("i-1", 5, 4, false));
    assert_eq!(accepting(&watch), None);
    assert!(watch.reachable(now, 100).is_some());
    let later = now.plus_ms(100);
    assert!(!watch.mark_leaving(later, &BackendName::new("i-1")));
    assert_eq!(
        watch.reachable(later, 100),
        None,
        "said again, it gets no more time"
    );
    report_to(&mut watch, report("i-1", 6, 1, false));
    assert_eq!(
        accepting(&watch),
        Some("i-1"),
        "the same name after a restart"
    );
}

/// A restarted node took a delayed report of a backend server that had left for a new start.
#[rstest]
#[case::delayed_report("i-1", 5, None)]
#[case::report_of_an_earlier_start("i-1", 4, None)]
#[case::start_anew("i-1", 6, Some("i-1"))]
#[case::another_backend_server("i-2", 5, Some("i-2"))]
#[case::another_whose_clock_is_behind("i-2", 4, Some("i-2"))]
fn departure_of_an_earlier_process_holds_until_another_start(
    #[case] backend: &str,
    #[case] started_at_ms: u64,
    #[case] current: Option<&str>,
) {
    let mut watch = watch();
    let departed = DepartedBackend {
        backend: BackendName::new("i-1"),
        started_at_ms: Some(5),
    };
    watch.recall(ClockTime::from_ms(900), departed);
    report_to(&mut watch, report(backend, started_at_ms, 9, false));
    assert_eq!(accepting(&watch), current);
}

/// A backend server that leaves before its first report tells no start time, so that one that starts
/// anew under its name is served once no report can be a delayed one any more.
#[test]
fn departure_without_a_start_time_holds_while_reports_may_be_delayed() {
    let mut watch = watch();
    let departed = DepartedBackend {
        backend: BackendName::new("i-1"),
        started_at_ms: None,
    };
    watch.recall(ClockTime::from_ms(900), departed);
    report_to(&mut watch, report("i-1", 5, 1, false));
    assert_eq!(accepting(&watch), None);
    let later = ClockTime::from_ms(900 + lentilshift_member::MAX_REPORT_DELAY_MS);
    watch.apply(later, &BackendNotice::Report(report("i-1", 5, 2, false)));
    assert_eq!(accepting(&watch), Some("i-1"));
}

/// The departure that is recorded names the start that has left.
#[test]
fn departure_names_the_start() {
    let mut watch = watch();
    let name = BackendName::new("i-1");
    assert_eq!(watch.departure_of(&name), None);
    report_to(&mut watch, report("i-1", 5, 1, false));
    assert_eq!(watch.departure_of(&name), None);
    report_to(&mut watch, report("i-1", 5, 2, true));
    let departed = watch.departure_of(&name).unwrap();
    assert_eq!(departed.started_at_ms, Some(5));
    assert!(departed.covers(&name, 5));
    assert!(!departed.covers(&name, 6));
}
