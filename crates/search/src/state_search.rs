use std::collections::BTreeSet;
use std::fmt::{self, Debug, Write};

use xxhash_rust::xxh3::Xxh3;

use crate::{SearchLimits, SearchModel, SearchReport, SearchViolation};

/// How a state was reached.
struct VisitedState<E> {
    parent: usize,
    event: Option<E>,
}

/// Hashes the debug output of a state without storing it.
struct StateHasher(Xxh3);

impl Write for StateHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Visits the states of `model` breadth first, until a property doesn't hold or a limit is reached.
///
/// Visited states are stored as hashes of 128 bits only.
///
/// # Examples
///
/// ```
/// use lentilshift_search::{SearchLimits, SearchModel, search_states};
///
/// struct Counter;
///
/// impl SearchModel for Counter {
///     type State = u32;
///     type Event = u32;
///
///     fn initial(&self) -> u32 {
///         0
///     }
///
///     fn events(&self, _: &u32) -> Vec<u32> {
///         vec![1, 3]
///     }
///
///     fn apply(&self, state: &mut u32, event: &u32) {
///         *state += event;
///     }
///
///     fn violation(&self, state: &u32) -> Option<String> {
///         (*state == 6).then(|| "the counter isn't 6".to_owned())
///     }
/// }
///
/// let report = search_states(&Counter, SearchLimits::default());
/// assert_eq!(report.violation.unwrap().events, [3, 3]);
/// ```
pub fn search_states<M: SearchModel>(model: &M, limits: SearchLimits) -> SearchReport<M::Event> {
    let first = model.initial();
    let mut seen = BTreeSet::from([fingerprint(&first)]);
    let mut visited = vec![VisitedState {
        parent: 0,
        event: None,
    }];
    let violation = |property, visited: &[VisitedState<M::Event>], index| SearchViolation {
        property,
        events: path(visited, index),
    };
    let mut report = SearchReport {
        states: 1,
        depth: 0,
        is_exhausted: true,
        violation: None,
    };
    if let Some(property) = model.violation(&first) {
        report.is_exhausted = false;
        report.violation = Some(violation(property, &visited, 0));
        return report;
    }
    let mut layer = vec![(0, first)];
    while !layer.is_empty() && report.depth < limits.max_depth {
        let mut next = Vec::new();
        for (index, state) in &layer {
            for event in model.events(state) {
                let mut changed = state.clone();
                model.apply(&mut changed, &event);
                if !seen.insert(fingerprint(&changed)) {
                    continue;
                }
                visited.push(VisitedState {
                    parent: *index,
                    event: Some(event),
                });
                report.states = visited.len();
                let at = visited.len() - 1;
                if let Some(property) = model.violation(&changed) {
                    report.depth += 1;
                    report.is_exhausted = false;
                    report.violation = Some(violation(property, &visited, at));
                    return report;
                }
                if report.states >= limits.max_states {
                    report.is_exhausted = false;
                    return report;
                }
                next.push((at, changed));
            }
        }
        report.depth += usize::from(!next.is_empty());
        layer = next;
    }
    report
}

/// Returns the events that lead to a visited state.
fn path<E: Clone>(visited: &[VisitedState<E>], index: usize) -> Vec<E> {
    let mut events = Vec::new();
    let mut at = index;
    while let Some(event) = &visited[at].event {
        events.push(event.clone());
        at = visited[at].parent;
    }
    events.reverse();
    events
}

fn fingerprint(state: &impl Debug) -> u128 {
    let mut hasher = StateHasher(Xxh3::new());
    // The hasher accepts all text, so formatting can't fail.
    let _ = write!(hasher, "{state:?}");
    hasher.0.digest128()
}
