use std::collections::{BTreeSet, VecDeque};

use limit::{ConcurrencyLimit, LimitSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The decision of a baseline queue about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselineDecision {
    Start,
    Wait,
    Refuse,
}

/// The queue of a baseline node: first in, first out, with a concurrency limit.
#[derive(Clone, Debug)]
pub(crate) struct BaselineQueue {
    limit: ConcurrencyLimit,
    waiting: VecDeque<usize>,
    running: BTreeSet<usize>,
    random: Option<SmallRng>,
}

/// The ratio of queue length to limit at which random shedding starts.
const SHED_START_RATIO: f64 = 0.5;
/// The ratio of queue length to limit from which every call is shed.
const SHED_ALL_RATIO: f64 = 2.0;

impl BaselineQueue {
    /// Creates the queue of the naive node: unbounded, with a fixed limit.
    pub(crate) fn naive(slots: u32) -> Self {
        let settings = LimitSettings {
            is_adaptive: false,
            ..LimitSettings::default()
        };
        Self::new(settings, slots, None)
    }

    /// Creates a queue with an adaptive limit and random shedding.
    pub(crate) fn independent(slots: u32, seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Self::new(LimitSettings::default(), slots, Some(random))
    }

    fn new(settings: LimitSettings, slots: u32, random: Option<SmallRng>) -> Self {
        Self {
            limit: ConcurrencyLimit::new(settings, slots),
            waiting: VecDeque::new(),
            running: BTreeSet::new(),
            random,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn offer(&mut self, call: usize) -> BaselineDecision {
        if self.has_slot() && self.waiting.is_empty() {
            self.running.insert(call);
            return BaselineDecision::Start;
        }
        if self.should_shed() {
            return BaselineDecision::Refuse;
        }
        self.waiting.push_back(call);
        BaselineDecision::Wait
    }

    pub(crate) fn finish(&mut self, call: usize, own_ms: Option<u64>, starts: &mut Vec<usize>) {
        let in_flight = self.in_flight();
        if !self.running.remove(&call) {
            return;
        }
        if let Some(own_ms) = own_ms {
            self.limit.record(own_ms, in_flight);
        }
        while self.has_slot() {
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            self.running.insert(next);
            starts.push(next);
        }
    }

    pub(crate) fn reset(&mut self) {
        self.limit.reset();
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn has_slot(&self) -> bool {
        self.in_flight() < self.limit.current()
    }

    #[expect(clippy::cast_precision_loss, reason = "queue lengths are small")]
    fn should_shed(&mut self) -> bool {
        let Some(random) = &mut self.random else {
            return false;
        };
        let queue_ratio = self.waiting.len() as f64 / f64::from(self.limit.current());
        let chance = (queue_ratio - SHED_START_RATIO) / (SHED_ALL_RATIO - SHED_START_RATIO);
        random.random::<f64>() < chance
    }
}
