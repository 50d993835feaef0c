use std::collections::BTreeMap;

use super::{CallerRequest, CallerResponse, ProcessFleet};

/// A once call and the response to it, if any.
pub type AnsweredCall = (CallerRequest, Option<CallerResponse>);

/// The numbers of once calls by outcome.
#[derive(Debug, Default)]
pub struct OnceCounts {
    pub calls: usize,
    pub answered: usize,
    /// Calls of which no copy ran and that weren't answered with success, by response.
    pub unserved: BTreeMap<String, usize>,
    /// Other calls that weren't answered with success, by response.
    pub others: BTreeMap<String, usize>,
}

/// Checks the responses to once calls against the records of the backend servers: each key ran at most
/// once, and no response contradicts that.
pub fn check_once(fleet: &ProcessFleet, calls: &[AnsweredCall], counts: &mut OnceCounts) {
    let mut by_key: BTreeMap<&str, Vec<&AnsweredCall>> = BTreeMap::new();
    for call in calls {
        let key = call.0.idempotency_key.as_deref().unwrap();
        by_key.entry(key).or_default().push(call);
    }
    for (key, copies) in by_key {
        let runs = copies.iter().map(|(request, _)| fleet.runs(&request.trace));
        let runs: Vec<usize> = runs.collect();
        let total: usize = runs.iter().sum();
        assert!(total <= 1, "{key} ran {total} times: {copies:?}");
        for ((request, response), runs) in copies.iter().zip(runs) {
            check_copy(request, response.as_ref(), runs, total);
            count_copy(response.as_ref(), total, counts);
        }
    }
}

fn check_copy(
    request: &CallerRequest,
    response: Option<&CallerResponse>,
    runs: usize,
    total: usize,
) {
    let Some(response) = response else { return };
    let is_false = response.is_not_run() && runs > 0 || response.verdict == "ran" && total == 0;
    assert!(
        !is_false && (!response.is_ok() || total == 1),
        "{request:?} ran {runs} times, its key {total} times, but: {response:?}"
    );
}

fn count_copy(response: Option<&CallerResponse>, total: usize, counts: &mut OnceCounts) {
    counts.calls += 1;
    if response.is_some_and(CallerResponse::is_ok) {
        counts.answered += 1;
        return;
    }
    let outcome = response.map_or("nothing".to_owned(), |response| {
        format!("{}, {}", response.verdict, response.reason())
    });
    let group = if total == 0 {
        &mut counts.unserved
    } else {
        &mut counts.others
    };
    *group.entry(outcome).or_default() += 1;
}
