//! API keys appear in nothing that a node writes: logs, dumps, metrics, records, requests.

mod fleet;

use std::sync::Mutex;
use std::time::Duration;

use compio::time::sleep;
use fleet::{Fleet, KEY};
use log::{LevelFilter, Log, Metadata, Record};
use rstest::rstest;
use streams::{LogOffset, LogStream};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// A logger that stores every line.
struct LineCollector;

impl Log for LineCollector {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        LINES.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// Sends requests that are answered, refused or run once, and one that crashes a backend server.
async fn send_all_kinds(fleet: &Fleet) {
    let requests = [
        ("GET", "/filings/filings/1"),
        ("GET", "/filings/nothing"),
        ("GET", "/nowhere"),
        ("POST", "/filings/charges?a=1"),
        ("POST", "/filings/filings?status=500"),
        ("GET", "/filings/filings/1?crash=1"),
        ("GET", "/filings/filings/2"),
    ];
    for (n, (method, path)) in requests.into_iter().enumerate() {
        let key = format!("once-{n}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("x-api-key", KEY),
            ("cookie", KEY),
        ];
        let _ = fleet.send_admitted(n % 2, method, path, &headers).await;
        let _ = fleet
            .send(n % 2, method, &format!("{path}&key={KEY}"))
            .await;
    }
}

async fn admin_text(fleet: &Fleet, node: usize, path: &str) -> String {
    let url = format!("http://{}{path}", fleet.vms[node].node.admin_address());
    let answer = fleet.client.get(url).unwrap().send().await.unwrap();
    answer.text().await.unwrap()
}

#[rstest]
#[compio::test]
async fn no_key_is_written_anywhere() {
    log::set_logger(&LineCollector).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let fleet = Fleet::start_chain(1).await;
    send_all_kinds(&fleet).await;
    sleep(Duration::from_millis(300)).await;
    for node in 0..2 {
        for path in ["/dump", "/metrics", "/ready"] {
            let text = admin_text(&fleet, node, path).await;
            assert!(!text.contains(KEY), "{path}: {text}");
        }
        for entry in fleet.vms[node].backend.record().entries() {
            assert!(!entry.head.contains(KEY), "{}", entry.head);
        }
    }
    let mut records = 0;
    for stream in LogStream::all() {
        let batch = fleet
            .log
            .with_store(|store| store.read(stream, LogOffset::ZERO));
        for record in batch.unwrap().records {
            records += 1;
            let text = record.body.as_str();
            assert!(!text.contains(KEY), "{stream}: {text}");
        }
    }
    let lines = LINES.lock().unwrap();
    let leaks: Vec<&String> = lines.iter().filter(|line| line.contains(KEY)).collect();
    assert!(leaks.is_empty(), "{leaks:?}");
    assert!(
        records > 3 && lines.len() > 10,
        "{records} records, {} lines",
        lines.len()
    );
}
