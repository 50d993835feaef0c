//! Checks that `docs/refusals.md` lists exactly the existing refusal reasons and their statuses.

use std::collections::BTreeMap;

use lentilshift_model::RefusalReason;

const PAGE: &str = include_str!("../../../docs/refusals.md");

#[test]
fn page_lists_every_reason_with_its_status() {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: Vec<(&str, u16)> = rows
        .map(|row| {
            let mut cells = row.split('|').map(str::trim);
            let reason = cells.next().expect("a reason").trim_end_matches('`');
            let status = cells.next().expect("a status").parse();
            (reason, status.expect("a number"))
        })
        .collect();
    let known = RefusalReason::ALL.map(|reason| (reason.as_str(), reason.status()));
    assert_eq!(listed.len(), known.len());
    let listed: BTreeMap<&str, u16> = listed.into_iter().collect();
    assert_eq!(listed, known.into_iter().collect());
}
