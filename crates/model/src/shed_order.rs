use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{RequestId, ShedClass};

/// The position of a request in the shedding order, which is the same for all services.
///
/// The lowest positions are shed first. Positions compare by class, then by a hash of the request's
/// identifier. The hash is the same at every hop, so overloaded services of one chain shed the
/// same requests.
///
/// # Examples
///
/// ```
/// use lentilshift_model::{CallImportance, RequestId, ShedOrder};
///
/// let request = RequestId::from_random(7);
/// let low = ShedOrder::new(CallImportance::Normal, request);
/// let high = ShedOrder::new(CallImportance::Critical, request);
/// assert!(low < high);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShedOrder {
    class: ShedClass,
    rank: u16,
}

impl ShedOrder {
    /// The lowest position, which is shed first.
    pub const FIRST: Self = Self {
        class: ShedClass::FIRST,
        rank: 0,
    };

    /// Returns the position of a request.
    #[must_use]
    pub fn new(class: impl Into<ShedClass>, request: RequestId) -> Self {
        let [high, low, ..] = xxh3_64(&request.as_u128().to_be_bytes()).to_be_bytes();
        Self::from_parts(class.into(), u16::from_be_bytes([high, low]))
    }

    /// Creates a position from a class and a rank within the class.
    #[must_use]
    pub const fn from_parts(class: ShedClass, rank: u16) -> Self {
        Self { class, rank }
    }

    /// Returns the class.
    #[must_use]
    pub const fn class(self) -> ShedClass {
        self.class
    }

    /// Returns the rank within the class; ranks are spread evenly over `u16`.
    #[must_use]
    pub const fn rank(self) -> u16 {
        self.rank
    }

    /// Returns the position as a number, comparable over all classes.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "there are few classes")]
    pub const fn level(self) -> u32 {
        ((self.class.index() as u32) << 16) | self.rank as u32
    }
}
