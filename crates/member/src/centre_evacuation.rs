use std::collections::BTreeSet;

use clock::ClockTime;
use model::CentreName;

/// How long a backend server of an evacuated data centre still accepts calls, in milliseconds.
/// Other nodes may learn of the evacuation that much later.
const ACCEPT_MS: u64 = 1_000;
/// How long a call that was accepted by then may still be sent to the backend server, in
/// milliseconds.
const SEND_MS: u64 = 2_000;

/// A data centre whose evacuation has begun or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub centre: CentreName,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// Tracks the data centres whose backend servers get no requests at the operators' request.
///
/// It answers the load of a data centre that is emptied while its callers stay: their requests go
/// to other data centres. Senders leave an evacuated data centre out at once. The node beside a
/// backend server there accepts calls for a moment longer, for senders that learn of it later, and
/// then refuses all of them: what holds for the whole fleet can't depend on each sender.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_member::CentreEvacuation;
///
/// let mut evacuation = CentreEvacuation::new("north".into());
/// let start = ClockTime::from_ms(1);
/// evacuation.update(start, &["north".into()].into());
/// assert!(!evacuation.is_open(&"north".into()));
/// assert!(evacuation.accepts_calls(start));
/// assert!(!evacuation.accepts_calls(start.plus_ms(5_000)));
/// ```
#[derive(Clone, Debug)]
pub struct CentreEvacuation {
    centre: CentreName,
    evacuated: BTreeSet<CentreName>,
    /// When this node learned that its own data centre is evacuated.
    began_at: Option<ClockTime>,
}

impl CentreEvacuation {
    /// Creates the state of a node in the data centre `centre`, where no data centre is evacuated.
    #[must_use]
    pub const fn new(centre: CentreName) -> Self {
        Self {
            centre,
            evacuated: BTreeSet::new(),
            began_at: None,
        }
    }

    /// Replaces the set of evacuated data centres, and returns what has changed.
    pub fn update(
        &mut self,
        now: ClockTime,
        evacuated: &BTreeSet<CentreName>,
    ) -> Vec<EvacuationChange> {
        let changes = self
            .evacuated
            .symmetric_difference(evacuated)
            .map(|centre| EvacuationChange {
                centre: centre.clone(),
                is_evacuated: evacuated.contains(centre),
            })
            .collect();
        self.evacuated.clone_from(evacuated);
        self.began_at = evacuated
            .contains(&self.centre)
            .then(|| self.began_at.unwrap_or(now));
        changes
    }

    /// Returns whether requests may be sent to the backend servers of a data centre.
    #[must_use]
    pub fn is_open(&self, centre: &CentreName) -> bool {
        !self.evacuated.contains(centre)
    }

    /// Returns whether the node accepts calls for its own backend server.
    #[must_use]
    pub fn accepts_calls(&self, now: ClockTime) -> bool {
        self.is_within(now, ACCEPT_MS)
    }

    /// Returns whether a call accepted earlier may be sent to the node's own backend server.
    #[must_use]
    pub fn may_send(&self, now: ClockTime) -> bool {
        self.is_within(now, SEND_MS)
    }

    fn is_within(&self, now: ClockTime, limit_ms: u64) -> bool {
        self.began_at
            .is_none_or(|began_at| now.since_ms(began_at) < limit_ms)
    }
}
