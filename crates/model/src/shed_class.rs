use serde::{Deserialize, Serialize};

use crate::CallImportance;

/// The class of a request in the shedding order: the importance of its team or call, and within
/// that the importance of its call.
///
/// Where a team's importance goes before that of its calls, these still differ in the harm that
/// is done when they are refused.
///
/// # Examples
///
/// ```
/// use lentilshift_model::{CallImportance, ShedClass};
///
/// let look_up = ShedClass::new(CallImportance::High, CallImportance::Normal);
/// let filing = ShedClass::new(CallImportance::High, CallImportance::Critical);
/// assert!(look_up < filing);
/// assert!(filing < ShedClass::from(CallImportance::Critical));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShedClass {
    importance: CallImportance,
    call: CallImportance,
}

impl ShedClass {
    /// The number of classes.
    pub const COUNT: usize = CallImportance::ALL.len() * CallImportance::ALL.len();

    /// The class that is shed first.
    pub const FIRST: Self = Self::new(CallImportance::Background, CallImportance::Background);

    /// Creates the class of a request of some importance, by a call of another.
    #[must_use]
    pub const fn new(importance: CallImportance, call: CallImportance) -> Self {
        Self { importance, call }
    }

    /// Returns the importance that goes first.
    #[must_use]
    pub const fn importance(self) -> CallImportance {
        self.importance
    }

    /// Returns the importance of the call.
    #[must_use]
    pub const fn call(self) -> CallImportance {
        self.call
    }

    /// Returns the place among all classes, 0 for the one that is shed first.
    #[must_use]
    pub const fn index(self) -> usize {
        self.importance as usize * CallImportance::ALL.len() + self.call as usize
    }

    /// Returns all classes, the first to be shed first.
    #[must_use]
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        let calls = CallImportance::ALL.into_iter();
        calls.flat_map(|importance| {
            CallImportance::ALL
                .into_iter()
                .map(move |call| Self::new(importance, call))
        })
    }
}

impl From<CallImportance> for ShedClass {
    /// Returns the class of a call whose own importance is the one that counts.
    fn from(importance: CallImportance) -> Self {
        Self::new(importance, importance)
    }
}
