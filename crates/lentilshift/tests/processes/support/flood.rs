use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;

use super::{
    AdmitSpan, CallerRequest, CallerResponse, LIMITED_KEY, LOOK_UP, ProcessFleet, RateBound,
};

/// The rate and burst of the team whose requests exceed them.
pub const LIMITED_TEAM: RateBound = RateBound {
    rate_per_s: 10.0,
    burst: 20.0,
};
/// The interval of the requests to each node, in milliseconds.
const SEND_INTERVAL_MS: u64 = 60;
/// The deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 25_000;

/// Requests of one team to all nodes that exceed its rate and burst.
pub struct RateFlood {
    /// The times at which requests were sent, for each node.
    sent: Vec<Vec<Instant>>,
    /// The responses, with the index of the node.
    responses: Rc<RefCell<Vec<(usize, CallerResponse)>>>,
}

impl RateFlood {
    /// Sends requests for the given time, each over its own connection.
    pub async fn run(fleet: &ProcessFleet, time: Duration) -> Self {
        let until = Instant::now() + time;
        let addresses: Vec<_> = fleet.nodes.iter().map(|node| node.callers).collect();
        let mut flood = Self {
            sent: vec![Vec::new(); addresses.len()],
            responses: Rc::default(),
        };
        let mut sending = Vec::new();
        while Instant::now() < until {
            for (node, &address) in addresses.iter().enumerate() {
                let trace = format!("flood-{node}-{}", flood.sent[node].len());
                flood.sent[node].push(Instant::now());
                let mut request = CallerRequest::get(LOOK_UP, LIMITED_KEY, trace);
                request.deadline_ms = DEADLINE_MS;
                let responses = Rc::clone(&flood.responses);
                sending.push(compio::runtime::spawn(async move {
                    if let Some(response) = request.send(address).await {
                        responses.borrow_mut().push((node, response));
                    }
                }));
            }
            sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        }
        sleep(Duration::from_secs(1)).await;
        drop(sending);
        flood
    }

    /// Asserts that rate and burst weren't exceeded, and that the requests would have exceeded them
    /// with a token bucket at each node.
    pub fn check(&self) {
        let responses = self.responses.borrow();
        let admitted = responses
            .iter()
            .filter(|(_, response)| response.status != 429);
        let spans: Vec<AdmitSpan> = admitted
            .filter(|(_, response)| !response.is_not_run())
            .map(|(_, response)| response.into())
            .collect();
        let per_node: Vec<AdmitSpan> = self
            .sent
            .iter()
            .flat_map(|sent| LIMITED_TEAM.admit_per_node(sent))
            .collect();
        let (excess, per_node_excess) =
            (LIMITED_TEAM.excess(&spans), LIMITED_TEAM.excess(&per_node));
        println!(
            "{} of {} admitted, excess {excess:.1}; a bucket at each node: {}, excess {per_node_excess:.1}; {:?}",
            spans.len(),
            self.sent.iter().map(Vec::len).sum::<usize>(),
            per_node.len(),
            self.refusals(),
        );
        assert!(excess <= 0.0, "rate and burst are exceeded by {excess}");
        assert!(
            per_node_excess > 0.0,
            "the requests wouldn't exceed the rate with a bucket at each node either"
        );
        assert!(!spans.is_empty());
    }

    /// Returns the number of refusals by node and reason.
    pub fn refusals(&self) -> BTreeMap<(usize, String), usize> {
        let mut refusals = BTreeMap::new();
        for (node, response) in self
            .responses
            .borrow()
            .iter()
            .filter(|(_, response)| !response.is_ok())
        {
            *refusals.entry((*node, response.reason())).or_default() += 1;
        }
        refusals
    }
}
