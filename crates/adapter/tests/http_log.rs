//! Runs the HTTP adapter against the simulated log server over loopback.

use lentilshift_adapter::{HttpLog, HttpSettings};
use model::RecordId;
use rstest::rstest;
use standin::{LogControl, LogFaults, LogOutage, LogServer};
use streams::{
    AppendError, LogEra, LogOffset, LogStream, NewRecord, PlatformLog, ReadError, RecordBody,
};

const STREAM: LogStream = LogStream::Config;

async fn start(settings: HttpSettings) -> (HttpLog, LogControl) {
    let server = LogServer::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let base = format!("http://{}", server.addr().unwrap());
    let control = server.control();
    compio::runtime::spawn(server.run()).detach();
    (HttpLog::new(base, settings).unwrap(), control)
}

fn records(count: u128) -> Vec<NewRecord> {
    let record = |bits| NewRecord {
        id: RecordId::from_random(bits),
        body: RecordBody::new(format!("{{\"n\":{bits}}}")),
    };
    (0..count).map(record).collect()
}

#[compio::test]
async fn appended_records_are_read_in_order() {
    let (log, _) = start(HttpSettings::default()).await;
    let receipt = log.append(STREAM, records(3)).await.unwrap();
    assert_eq!(receipt.first, LogOffset::ZERO);
    let batch = log.read(STREAM, LogOffset::new(1), 0).await.unwrap();
    let ids: Vec<_> = batch.records.iter().map(|record| record.id).collect();
    assert_eq!(ids, [RecordId::from_random(1), RecordId::from_random(2)]);
    assert_eq!(batch.end, LogOffset::new(3));
}

#[compio::test]
async fn lost_reply_leaves_the_outcome_unknown_and_the_record_written() {
    let (log, control) = start(HttpSettings::default()).await;
    control.set_faults(LogFaults {
        lose_append_replies: true,
        ..LogFaults::default()
    });
    let error = log.append(STREAM, records(1)).await.unwrap_err();
    assert!(matches!(error, AppendError::OutcomeUnknown(_)), "{error}");
    let batch = log.read(STREAM, LogOffset::ZERO, 0).await.unwrap();
    assert!(!batch.records.is_empty());
}

#[compio::test]
async fn records_past_retention_are_gone() {
    let (log, control) = start(HttpSettings::default()).await;
    control.set_faults(LogFaults {
        retained_records: Some(2),
        ..LogFaults::default()
    });
    log.append(STREAM, records(5)).await.unwrap();
    let error = log.read(STREAM, LogOffset::ZERO, 0).await.unwrap_err();
    let first = LogOffset::new(3);
    assert_eq!(
        error,
        ReadError::Gone {
            first,
            era: LogEra::FIRST
        }
    );
}

#[rstest]
#[case(LogFaults { garble_answers: true, ..LogFaults::default() }, true)]
#[case(LogFaults { outage: LogOutage::Refuse, ..LogFaults::default() }, false)]
#[case(LogFaults { outage: LogOutage::Hang, ..LogFaults::default() }, false)]
fn faults_become_typed_errors(#[case] faults: LogFaults, #[case] is_malformed: bool) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let settings = HttpSettings {
            read_timeout_ms: 50,
            append_timeout_ms: 50,
            ..HttpSettings::default()
        };
        let (log, control) = start(settings).await;
        control.set_faults(faults);
        let append = log.append(STREAM, records(1)).await.unwrap_err();
        assert!(matches!(append, AppendError::OutcomeUnknown(_)), "{append}");
        let read = log.read(STREAM, LogOffset::ZERO, 0).await.unwrap_err();
        assert_eq!(
            matches!(read, ReadError::Malformed(_)),
            is_malformed,
            "{read}"
        );
        control.set_faults(LogFaults::default());
        log.append(STREAM, records(1)).await.unwrap();
    });
}

#[compio::test]
async fn unreachable_log_has_written_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let log = HttpLog::new(base, HttpSettings::default()).unwrap();
    let error = log.append(STREAM, records(1)).await.unwrap_err();
    assert!(matches!(error, AppendError::NotWritten(_)), "{error}");
}

#[compio::test]
async fn answer_over_the_limit_is_an_error() {
    let settings = HttpSettings {
        max_answer_bytes: 100,
        ..HttpSettings::default()
    };
    let (log, _) = start(settings).await;
    log.append(STREAM, records(50)).await.unwrap();
    let error = log.read(STREAM, LogOffset::ZERO, 0).await.unwrap_err();
    assert!(matches!(error, ReadError::Malformed(_)), "{error}");
}

#[compio::test]
async fn faults_are_set_over_http() {
    let server = LogServer::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let url = format!("http://{}/control", server.addr().unwrap());
    let control = server.control();
    compio::runtime::spawn(server.run()).detach();
    let client = cyper::Client::new().unwrap();
    let request = client.post(&url).unwrap().body(r#"{"outage":"refuse"}"#);
    assert!(request.send().await.unwrap().status().is_success());
    assert_eq!(control.faults().outage, LogOutage::Refuse);
    let request = client.post(&url).unwrap().body("nonsense");
    assert!(request.send().await.unwrap().status().is_client_error());
    assert_eq!(control.faults().outage, LogOutage::Refuse);
}
