use std::collections::BTreeMap;

use super::{CallerRequest, CallerTold, ProcessFleet};

/// A once-call and what its caller was told.
pub type ToldCall = (CallerRequest, Option<CallerTold>);

/// What the callers of once-calls were told, in sum.
#[derive(Debug, Default)]
pub struct OnceCounts {
    pub calls: usize,
    pub answered: usize,
    /// Calls of which no copy ever ran, by what their callers were told.
    pub unserved: BTreeMap<String, usize>,
    /// Other calls, by what their callers were told.
    pub others: BTreeMap<String, usize>,
}

/// Compares what the callers of once-calls were told with the backend servers' own record.
pub fn check_once(fleet: &ProcessFleet, calls: &[ToldCall], counts: &mut OnceCounts) {
    let mut by_key: BTreeMap<&str, Vec<&ToldCall>> = BTreeMap::new();
    for call in calls {
        let key = call.0.idempotency_key.as_deref().unwrap();
        by_key.entry(key).or_default().push(call);
    }
    for (key, copies) in by_key {
        let runs = copies.iter().map(|(request, _)| fleet.runs(&request.trace));
        let runs: Vec<usize> = runs.collect();
        let total: usize = runs.iter().sum();
        assert!(total <= 1, "{key} ran {total} times: {copies:?}");
        for ((request, told), runs) in copies.iter().zip(runs) {
            check_copy(request, told.as_ref(), runs, total);
            count_copy(told.as_ref(), total, counts);
        }
    }
}

fn check_copy(request: &CallerRequest, told: Option<&CallerTold>, runs: usize, total: usize) {
    let Some(told) = told else { return };
    let is_false = told.is_not_run() && runs > 0 || told.verdict == "ran" && total == 0;
    assert!(
        !is_false && (!told.is_ok() || total == 1),
        "{request:?} ran {runs} times, its key {total} times, but: {told:?}"
    );
}

fn count_copy(told: Option<&CallerTold>, total: usize, counts: &mut OnceCounts) {
    counts.calls += 1;
    if told.is_some_and(CallerTold::is_ok) {
        counts.answered += 1;
        return;
    }
    let told = told.map_or("nothing".to_owned(), |told| {
        format!("{}, {}", told.verdict, told.reason())
    });
    let group = if total == 0 {
        &mut counts.unserved
    } else {
        &mut counts.others
    };
    *group.entry(told).or_default() += 1;
}
