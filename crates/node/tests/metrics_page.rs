//! `docs/metrics.md` lists exactly the metrics that a node exposes, with type and help text.

mod fleet;

use std::collections::BTreeSet;

use fleet::Fleet;
use rstest::rstest;
use standin::BackendSettings;

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Returns the name, type and help text of each row of the page.
fn documented_metrics() -> BTreeSet<[String; 3]> {
    let table = PAGE.split("\n## ").next().unwrap_or_default();
    let rows = table
        .lines()
        .filter(|line| line.starts_with("| `lentilshift_"));
    let cells = rows.map(|row| row.split('|').map(str::trim).collect::<Vec<_>>());
    cells
        .map(|cells| {
            let name = cells[1].trim_matches('`');
            [name, cells[2], cells[4]].map(str::to_owned)
        })
        .collect()
}

/// Returns the name, type and help text of each metric in the Prometheus text format.
fn exposed_metrics(text: &str) -> BTreeSet<[String; 3]> {
    let helps = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let metrics = helps.map(|line| {
        let (name, help) = line.split_once(' ').expect("a help text");
        let type_prefix = format!("# TYPE {name} ");
        let metric_type = text
            .lines()
            .find_map(|line| line.strip_prefix(&type_prefix));
        [name, metric_type.expect("a type line"), help].map(str::to_owned)
    });
    metrics.collect()
}

#[rstest]
#[compio::test]
async fn page_lists_every_metric() {
    let mut fleet = Fleet::start().await;
    let settings = BackendSettings::default();
    fleet.add("filings-1", "filings", settings).await;
    fleet.wait_until_warm().await;
    fleet.send(0, "GET", "/filings/filings/1").await;
    fleet.send(0, "GET", "/filings/nothing").await;
    let address = fleet.vms[0].node.admin_address();
    let request = fleet.client.get(format!("http://{address}/metrics"));
    let text = request.unwrap().send().await.unwrap().text().await.unwrap();
    assert_eq!(documented_metrics(), exposed_metrics(&text));
}
