use std::fmt::{self, Debug};

/// The shortest sequence of events to a state in which a property doesn't hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchViolation<E> {
    /// The property.
    pub property: String,
    /// The events from the initial state on, to be replayed in this order.
    pub events: Vec<E>,
}

/// The result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchReport<E> {
    /// The number of distinct states visited.
    pub states: usize,
    /// The number of events in the longest sequence.
    pub depth: usize,
    /// Whether every state within the depth limit was visited.
    pub is_exhausted: bool,
    /// The first violation, which ends the search.
    pub violation: Option<SearchViolation<E>>,
}

impl<E: Debug> fmt::Display for SearchReport<E> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let extent = if self.is_exhausted { "all" } else { "not all" };
        write!(
            formatter,
            "{} states, {extent} up to a depth of {}",
            self.states, self.depth
        )?;
        let Some(violation) = &self.violation else {
            return Ok(());
        };
        write!(formatter, "; violated: {}", violation.property)?;
        let events: Vec<String> = violation.events.iter().map(|e| format!("{e:?}")).collect();
        for repeated in events.chunk_by(|event, next| event == next) {
            write!(formatter, "\n{:>4} x {}", repeated.len(), repeated[0])?;
        }
        Ok(())
    }
}
