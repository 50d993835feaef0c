use serde::{Deserialize, Serialize};

use crate::CallImportance;

/// The class of a request in the shedding order.
///
/// Classes compare by the importance of the request first, which is that of its team if the team
/// has one, and else that of its call. Classes of equal importance compare by the importance of
/// the call, because the calls of a team still differ in the harm that refusing them does.
///
/// # Examples
///
/// ```
/// use lentilshift_model::{CallImportance, ShedClass};
///
/// let lookup = ShedClass::new(CallImportance::High, CallImportance::Normal);
/// let filing = ShedClass::new(CallImportance::High, CallImportance::Critical);
/// assert!(lookup < filing);
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

    /// Creates the class of a request from its importance and that of its call.
    #[must_use]
    pub const fn new(importance: CallImportance, call: CallImportance) -> Self {
        Self { importance, call }
    }

    /// Returns the importance of the request, which is compared first.
    #[must_use]
    pub const fn importance(self) -> CallImportance {
        self.importance
    }

    /// Returns the importance of the call.
    #[must_use]
    pub const fn call(self) -> CallImportance {
        self.call
    }

    /// Returns the position among all classes, 0 for the one that is shed first.
    #[must_use]
    pub const fn index(self) -> usize {
        self.importance as usize * CallImportance::ALL.len() + self.call as usize
    }

    /// Returns all classes in the order in which they are shed.
    #[must_use]
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        let importances = CallImportance::ALL.into_iter();
        importances.flat_map(|importance| {
            CallImportance::ALL
                .into_iter()
                .map(move |call| Self::new(importance, call))
        })
    }
}

impl From<CallImportance> for ShedClass {
    /// Returns the class of a request whose importance is that of its call.
    fn from(importance: CallImportance) -> Self {
        Self::new(importance, importance)
    }
}
