use std::fmt::Debug;

/// A system whose states are searched.
pub trait SearchModel {
    /// A state of the system.
    ///
    /// Two states are the same if their debug output is.
    type State: Clone + Debug;
    /// A step from one state to the next, printed in a counterexample.
    type Event: Clone + Debug;

    /// Returns the state in which the search starts.
    fn initial(&self) -> Self::State;

    /// Returns the events that may happen in a state; none ends the sequence there.
    fn events(&self, state: &Self::State) -> Vec<Self::Event>;

    /// Applies an event to a state.
    fn apply(&self, state: &mut Self::State, event: &Self::Event);

    /// Returns the property that doesn't hold in a state, if there is one.
    fn violation(&self, state: &Self::State) -> Option<String>;
}
