//! Checks that the search finds the shortest sequence of events and keeps its limits.

use lentilshift_search::{SearchLimits, SearchModel, search_states};

/// Two containers of 3 and 5 liters, without a scale.
struct WaterJugs {
    target: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JugEvent {
    FillSmall,
    FillLarge,
    EmptySmall,
    EmptyLarge,
    PourIntoLarge,
    PourIntoSmall,
}

impl SearchModel for WaterJugs {
    type State = (u32, u32);
    type Event = JugEvent;

    fn initial(&self) -> Self::State {
        (0, 0)
    }

    fn events(&self, _: &Self::State) -> Vec<JugEvent> {
        vec![
            JugEvent::FillSmall,
            JugEvent::FillLarge,
            JugEvent::EmptySmall,
            JugEvent::EmptyLarge,
            JugEvent::PourIntoLarge,
            JugEvent::PourIntoSmall,
        ]
    }

    fn apply(&self, state: &mut Self::State, event: &JugEvent) {
        let (small, large) = *state;
        *state = match event {
            JugEvent::FillSmall => (3, large),
            JugEvent::FillLarge => (small, 5),
            JugEvent::EmptySmall => (0, large),
            JugEvent::EmptyLarge => (small, 0),
            JugEvent::PourIntoLarge => {
                let poured = small.min(5 - large);
                (small - poured, large + poured)
            }
            JugEvent::PourIntoSmall => {
                let poured = large.min(3 - small);
                (small + poured, large - poured)
            }
        };
    }

    fn violation(&self, state: &Self::State) -> Option<String> {
        (state.1 == self.target).then(|| format!("the large one holds {}", state.1))
    }
}

#[test]
fn shortest_sequence_is_found() {
    let report = search_states(&WaterJugs { target: 4 }, SearchLimits::default());
    let violation = report.violation.unwrap();
    assert_eq!(violation.property, "the large one holds 4");
    assert_eq!(
        violation.events,
        [
            JugEvent::FillLarge,
            JugEvent::PourIntoSmall,
            JugEvent::EmptySmall,
            JugEvent::PourIntoSmall,
            JugEvent::FillLarge,
            JugEvent::PourIntoSmall,
        ]
    );
    assert_eq!(report.depth, 6);
}

#[test]
fn initial_state_is_checked() {
    let report = search_states(&WaterJugs { target: 0 }, SearchLimits::default());
    assert_eq!((report.states, report.is_exhausted), (1, false));
    assert!(report.violation.unwrap().events.is_empty());
}

#[test]
fn all_states_are_visited_once() {
    let report = search_states(&WaterJugs { target: 6 }, SearchLimits::default());
    // A jug is always full or empty, unless the other one is.
    assert_eq!((report.states, report.is_exhausted), (16, true));
    assert!(report.violation.is_none());
}

#[test]
fn limits_end_the_search() {
    let jugs = WaterJugs { target: 6 };
    let few = SearchLimits {
        max_states: 5,
        ..SearchLimits::default()
    };
    let report = search_states(&jugs, few);
    assert_eq!((report.states, report.is_exhausted), (5, false));
    let shallow = SearchLimits {
        max_depth: 1,
        ..SearchLimits::default()
    };
    let report = search_states(&jugs, shallow);
    assert_eq!((report.states, report.depth), (3, 1));
}

#[test]
fn report_lists_the_events() {
    let mut report = search_states(&WaterJugs { target: 5 }, SearchLimits::default());
    let text = "3 states, not all up to a depth of 1; violated: the large one holds 5";
    assert_eq!(report.to_string(), format!("{text}\n   1 x FillLarge"));
    let events = &mut report.violation.as_mut().unwrap().events;
    events.extend([JugEvent::EmptyLarge, JugEvent::EmptyLarge]);
    let lines = "\n   1 x FillLarge\n   2 x EmptyLarge";
    assert_eq!(report.to_string(), format!("{text}{lines}"));
}
