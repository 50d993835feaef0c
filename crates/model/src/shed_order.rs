use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{RequestId, ShedClass};

/// The place of a request in the one shedding order of all services.
///
/// What compares less is shed first: first by class, then by a hash of the request's
/// identifier. The hash is the same at every hop, so services that shed at once drop the same
/// requests.
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
    /// The place of the request that is shed first.
    pub const FIRST: Self = Self {
        class: ShedClass::FIRST,
        rank: 0,
    };

    /// Returns the place of a request.
    #[must_use]
    pub fn new(class: impl Into<ShedClass>, request: RequestId) -> Self {
        let [high, low, ..] = xxh3_64(&request.as_u128().to_be_bytes()).to_be_bytes();
        Self::from_parts(class.into(), u16::from_be_bytes([high, low]))
    }

    /// Creates a place from a class and a rank within the class.
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

    /// Returns the place on one scale over all classes.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "there are few classes")]
    pub const fn level(self) -> u32 {
        ((self.class.index() as u32) << 16) | self.rank as u32
    }
}
