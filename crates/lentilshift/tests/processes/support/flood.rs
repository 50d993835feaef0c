use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;

use super::{AdmitSpan, CallerRequest, CallerTold, LOOK_UP, ProcessFleet, RateBound, SLOW_KEY};

/// The team whose rate the floods exceed.
pub const SLOW_TEAM: RateBound = RateBound {
    rate_per_s: 10.0,
    burst: 20.0,
};
/// The time between two requests at one node, in milliseconds.
const PAUSE_MS: u64 = 60;
/// The longest that the answer to one of the requests is waited for, in milliseconds.
const DEADLINE_MS: u64 = 25_000;

/// Requests of one team at all nodes, more than its rate and burst.
pub struct RateFlood {
    sent: Vec<Vec<Instant>>,
    told: Rc<RefCell<Vec<(usize, CallerTold)>>>,
}

impl RateFlood {
    /// Sends until the time has passed, each request over a connection of its own.
    pub async fn run(fleet: &ProcessFleet, time: Duration) -> Self {
        let until = Instant::now() + time;
        let addresses: Vec<_> = fleet.nodes.iter().map(|node| node.callers).collect();
        let mut flood = Self {
            sent: vec![Vec::new(); addresses.len()],
            told: Rc::default(),
        };
        let mut sending = Vec::new();
        while Instant::now() < until {
            for (node, &address) in addresses.iter().enumerate() {
                let trace = format!("flood-{node}-{}", flood.sent[node].len());
                flood.sent[node].push(Instant::now());
                let mut request = CallerRequest::get(LOOK_UP, SLOW_KEY, trace);
                request.deadline_ms = DEADLINE_MS;
                let told = Rc::clone(&flood.told);
                sending.push(compio::runtime::spawn(async move {
                    if let Some(answer) = request.send(address).await {
                        told.borrow_mut().push((node, answer));
                    }
                }));
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        sleep(Duration::from_secs(1)).await;
        drop(sending);
        flood
    }

    /// Asserts that rate and burst hold, and that a bucket at each node would not hold them.
    pub fn check(&self) {
        let told = self.told.borrow();
        let admitted = told.iter().filter(|(_, told)| told.status != 429);
        let spans: Vec<AdmitSpan> = admitted
            .filter(|(_, told)| !told.is_not_run())
            .map(|(_, told)| told.into())
            .collect();
        let naive: Vec<AdmitSpan> = self
            .sent
            .iter()
            .flat_map(|sent| SLOW_TEAM.admit_naively(sent))
            .collect();
        let (excess, naive_excess) = (SLOW_TEAM.excess(&spans), SLOW_TEAM.excess(&naive));
        println!(
            "{} of {} admitted, excess {excess:.1}; a bucket at each node: {}, excess {naive_excess:.1}; {:?}",
            spans.len(),
            self.sent.iter().map(Vec::len).sum::<usize>(),
            naive.len(),
            self.refusals(),
        );
        assert!(excess <= 0.0, "rate and burst are exceeded by {excess}");
        assert!(
            naive_excess > 0.0,
            "the flood is too small to show anything"
        );
        assert!(!spans.is_empty());
    }

    /// Returns the refusals of each node by reason.
    pub fn refusals(&self) -> BTreeMap<(usize, String), usize> {
        let mut refusals = BTreeMap::new();
        for (node, told) in self.told.borrow().iter().filter(|(_, told)| !told.is_ok()) {
            *refusals.entry((*node, told.reason())).or_default() += 1;
        }
        refusals
    }
}
