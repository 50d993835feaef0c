use std::collections::BTreeMap;

use clock::ClockTime;
use model::{ServiceName, ShedOrder, TeamName};

use crate::duration_cast::{to_f64, to_ms};
use crate::event_rate::EventRate;
use crate::{AdmissionSettings, CallTarget, RefusedRequest};

/// Rates below this are removed, in calls per millisecond.
const MIN_TRACKED_RATE: f64 = 1e-6;
/// The lowest rate of scheduled retries, in callers per millisecond.
const MIN_RATE: f64 = 1e-5;
/// The weight of one run in the moving average of the run time of its call.
const RUN_GAIN: f64 = 0.05;
/// The time after a refusal during which runs are ignored because an overload may have slowed them
/// down, in milliseconds.
const OVERLOAD_MEMORY_MS: u64 = 1_000;
/// The lowest retry rate of a team, as a fraction of an equal share.
const MIN_TEAM_SHARE: f64 = 0.25;
/// The run time assumed for a call that was never served, in milliseconds.
const UNKNOWN_RUN_MS: f64 = 100.0;
/// The time after which the retry rate of a team is calculated again, in milliseconds.
const RATE_UPDATE_MS: u64 = 100;
/// The lower end of the delays given once the slots lie beyond the longest delay, as a fraction of
/// it.
const MIN_LONGEST_DELAY_FRACTION: f64 = 0.5;

/// The retry slots of one team at one service.
#[derive(Clone, Copy, Debug, Default)]
struct RetryQueue {
    assigned_at: ClockTime,
    /// The time from `assigned_at` to the next free slot, in milliseconds.
    lead_ms: f64,
    /// The number of callers that may retry per millisecond.
    rate: f64,
    /// The mean run time of the served requests, in milliseconds.
    run_ms: f64,
    rate_updated_at: Option<ClockTime>,
}

/// The run time of a call while it is not refused.
#[derive(Clone, Copy, Debug)]
struct CallRunTime {
    mean_ms: f64,
    refused_at: Option<ClockTime>,
}

/// Assigns each refused caller a retry time of its own, so that retries arrive no faster than the
/// service has capacity for them.
///
/// Each caller gets the slot after the one assigned last. Slots follow each other at a fraction of
/// the rate at which requests of the caller's team were recently served through the service. A call
/// that runs longer than the mean takes a longer slot. Each team has its own slots, so that a team
/// that is refused often doesn't delay the others.
#[derive(Clone, Debug)]
pub(crate) struct RetrySlots {
    settings: AdmissionSettings,
    served: BTreeMap<(CallTarget, Option<TeamName>), EventRate>,
    runs: BTreeMap<CallTarget, CallRunTime>,
    queues: BTreeMap<(ServiceName, Option<TeamName>), RetryQueue>,
}

impl RetrySlots {
    /// Creates the slots with none assigned.
    pub(crate) const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            served: BTreeMap::new(),
            runs: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Counts a request that was served.
    pub(crate) fn observe_served(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        team: Option<&TeamName>,
        run_ms: u64,
    ) {
        let run_ms = to_f64(run_ms);
        let run = self.runs.entry(target.clone()).or_insert(CallRunTime {
            mean_ms: run_ms,
            refused_at: None,
        });
        run.observe(now, run_ms);
        let key = (target.clone(), team.cloned());
        self.served.entry(key).or_default().count(now);
    }

    /// Assigns a slot and returns the time until then, in milliseconds.
    ///
    /// `uses_service` returns whether requests of a call use the service that refused.
    pub(crate) fn assign(
        &mut self,
        now: ClockTime,
        refused: RefusedRequest<'_>,
        uses_service: impl Fn(&CallTarget) -> bool,
    ) -> u64 {
        let run_ms = self.record_refusal(now, refused.target);
        let key = (refused.service.clone(), refused.team.cloned());
        let mut queue = self.queues.get(&key).copied().unwrap_or_default();
        if queue.is_rate_stale(now) {
            self.remove_expired(now);
            self.update_rate(now, refused, uses_service, &mut queue);
        }
        let delay_ms = queue.remaining_lead_ms(now, &self.settings);
        let max_ms = to_f64(self.settings.max_retry_after_ms);
        queue.lead_ms = (delay_ms + queue.slot_interval_ms(run_ms)).min(max_ms);
        queue.assigned_at = now;
        self.queues.insert(key, queue);
        if queue.lead_ms < max_ms {
            return to_ms(delay_ms);
        }
        to_ms(
            max_ms
                * (MIN_LONGEST_DELAY_FRACTION
                    + (1.0 - MIN_LONGEST_DELAY_FRACTION) * request_fraction(refused.order)),
        )
    }

    /// Removes the calls for which `is_retained` returns false.
    pub(crate) fn retain(&mut self, is_retained: impl Fn(&CallTarget) -> bool) {
        self.served.retain(|(target, _), _| is_retained(target));
        self.runs.retain(|target, _| is_retained(target));
    }

    /// Records the refusal of a call, and returns its mean run time in milliseconds.
    fn record_refusal(&mut self, now: ClockTime, target: &CallTarget) -> f64 {
        let Some(run) = self.runs.get_mut(target) else {
            return UNKNOWN_RUN_MS;
        };
        run.refused_at = Some(now);
        run.mean_ms
    }

    /// Calculates the rate at which callers of a team may retry at a service.
    #[expect(clippy::cast_precision_loss, reason = "the number of teams is small")]
    fn update_rate(
        &self,
        now: ClockTime,
        refused: RefusedRequest<'_>,
        uses_service: impl Fn(&CallTarget) -> bool,
        queue: &mut RetryQueue,
    ) {
        let (mut total_rate, mut team_rate, mut run_ms) = (0.0, 0.0, 0.0);
        for ((target, other), rate) in &self.served {
            if !uses_service(target) {
                continue;
            }
            let rate = rate.per_ms(now);
            total_rate += rate;
            run_ms += rate * self.runs.get(target).map_or(0.0, |run| run.mean_ms);
            if other.as_ref() == refused.team {
                team_rate += rate;
            }
        }
        let queues = self.queues.keys();
        let teams = queues.filter(|(service, _)| service == refused.service);
        let min_rate = total_rate / teams.count().max(1) as f64 * MIN_TEAM_SHARE;
        queue.rate = (self.settings.retry_share * team_rate.max(min_rate)).max(MIN_RATE);
        queue.run_ms = run_ms / total_rate.max(f64::MIN_POSITIVE);
        queue.rate_updated_at = Some(now);
    }

    fn remove_expired(&mut self, now: ClockTime) {
        self.served
            .retain(|_, rate| rate.per_ms(now) > MIN_TRACKED_RATE);
        self.queues
            .retain(|_, queue| to_f64(now.since_ms(queue.assigned_at)) <= queue.lead_ms);
    }
}

impl CallRunTime {
    /// Records a run, unless an overload may have slowed it down.
    fn observe(&mut self, now: ClockTime, run_ms: f64) {
        let is_overloaded = self
            .refused_at
            .is_some_and(|refused_at| now.since_ms(refused_at) < OVERLOAD_MEMORY_MS);
        if !is_overloaded {
            self.mean_ms += RUN_GAIN * (run_ms - self.mean_ms);
        }
    }
}

impl RetryQueue {
    /// Returns the time until the next free slot, in milliseconds.
    ///
    /// Without refusals the overload is over, so this shrinks faster than time passes.
    fn remaining_lead_ms(&self, now: ClockTime, settings: &AdmissionSettings) -> f64 {
        let idle_ms = to_f64(now.since_ms(self.assigned_at));
        let half_lives = idle_ms / to_f64(settings.retry_half_life_ms.max(1));
        let lead_ms = (self.lead_ms - idle_ms) * (-half_lives).exp2();
        lead_ms.max(to_f64(settings.min_retry_after_ms))
    }

    /// Returns the interval from a slot to the next in milliseconds, which is longer for a call
    /// that runs longer than the mean of the served requests.
    fn slot_interval_ms(&self, run_ms: f64) -> f64 {
        f64::max(1.0, run_ms / self.run_ms.max(1.0)) / self.rate
    }

    fn is_rate_stale(&self, now: ClockTime) -> bool {
        self.rate_updated_at
            .is_none_or(|rate_updated_at| now.since_ms(rate_updated_at) >= RATE_UPDATE_MS)
    }
}

/// Returns a number from 0 to 1 that differs between requests, taken from the low byte of the rank.
fn request_fraction(order: ShedOrder) -> f64 {
    let [_, low] = order.rank().to_be_bytes();
    f64::from(low) / f64::from(u8::MAX)
}
