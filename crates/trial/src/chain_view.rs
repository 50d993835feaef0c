use std::collections::BTreeMap;
use std::rc::Rc;

use limit::ShedCuts;
use model::{ShedOrder, TeamName};

/// The cuts of one VM, as they travel on answers.
#[derive(Clone, Debug)]
pub(crate) struct HeardCuts {
    pub(crate) service: usize,
    pub(crate) vm: usize,
    pub(crate) at_us: u64,
    pub(crate) cuts: Rc<ShedCuts>,
}

/// Cuts count in full up to this age.
const FRESH_US: u64 = 300_000;
/// Cuts older than this don't count.
const STALE_US: u64 = 1_000_000;
/// The levels of one class.
const CLASS_LEVELS: f64 = 65_536.0;

/// What a node knows of the cuts of services below.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChainView {
    heard: BTreeMap<(usize, usize), HeardCuts>,
}

impl ChainView {
    pub(crate) fn note(&mut self, heard: &HeardCuts) {
        let key = (heard.service, heard.vm);
        match self.heard.get_mut(&key) {
            Some(known) if known.at_us >= heard.at_us => {}
            Some(known) => *known = heard.clone(),
            None => {
                self.heard.insert(key, heard.clone());
            }
        }
    }

    /// Returns what was heard of a service lately.
    pub(crate) fn heard(&self, service: usize, now_us: u64) -> impl Iterator<Item = &HeardCuts> {
        self.heard
            .range((service, 0)..(service + 1, 0))
            .map(|(_, heard)| heard)
            .filter(move |heard| now_us.saturating_sub(heard.at_us) < STALE_US)
    }

    /// Returns whether a service lets a new request in, by the mean of its VMs' thresholds.
    pub(crate) fn admits(
        &self,
        service: usize,
        order: ShedOrder,
        team: Option<&TeamName>,
        now_us: u64,
    ) -> bool {
        let mut total = 0.0;
        let mut count = 0.0;
        for heard in self.heard(service, now_us) {
            let age = now_us.saturating_sub(heard.at_us);
            total += level(heard.cuts.threshold_of(team)) * trust(age);
            count += 1.0;
        }
        count == 0.0 || level(order) >= total / count
    }
}

fn level(order: ShedOrder) -> f64 {
    f64::from(order.importance() as u8) * CLASS_LEVELS + f64::from(order.rank())
}

#[expect(clippy::cast_precision_loss, reason = "spans are small")]
fn trust(age_us: u64) -> f64 {
    let over = age_us.saturating_sub(FRESH_US) as f64;
    1.0 - over / (STALE_US - FRESH_US) as f64
}
