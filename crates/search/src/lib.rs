//! Explicit-state search for model checks of decision code.
//!
//! A [`SearchModel`] drives the code under check through events that it chooses. [`search_states`]
//! visits the states that the model can reach, breadth first, and returns the shortest sequence of
//! events that leads to a state in which a property doesn't hold.

mod search_limits;
mod search_model;
mod search_report;
mod state_search;

pub use search_limits::SearchLimits;
pub use search_model::SearchModel;
pub use search_report::{SearchReport, SearchViolation};
pub use state_search::search_states;
