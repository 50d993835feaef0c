use std::collections::BTreeMap;

use clock::ClockTime;
use model::{ServiceName, ShedOrder, TeamName};

use crate::event_rate::EventRate;
use crate::span_cast::{to_f64, to_ms};
use crate::{AdmissionSettings, CallTarget, RefusedRequest};

/// A rate below this one, in calls a millisecond, is forgotten.
const FORGET_RATE: f64 = 1e-6;
/// The rate at which callers come back when nothing is known, in callers a millisecond.
const MIN_RATE: f64 = 1e-5;
/// The weight of one run in the mean run time of its kind of call.
const RUN_GAIN: f64 = 0.05;
/// The time after a refusal for which runs say nothing about an ordinary run, in milliseconds.
const STRAIN_MS: u64 = 1_000;
/// The least that a team's callers come back, as a part of an equal share.
const LEAST_TEAM_SHARE: f64 = 0.25;
/// The run time of a kind of call that was never served, in milliseconds.
const UNKNOWN_RUN_MS: f64 = 100.0;
/// The time for which the rate of a team's slots is kept, in milliseconds.
const RATE_LIFE_MS: u64 = 100;
/// The least part of the longest time that callers are told, once slots lie beyond it.
const MIN_SPREAD: f64 = 0.5;

/// The callers of one team that were told to come back to one service.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnQueue {
    told_at: ClockTime,
    /// The time from then until the last of them comes, in milliseconds.
    lead_ms: f64,
    /// The callers a millisecond for which there is room.
    rate: f64,
    /// The mean run time of what is served, in milliseconds.
    run_ms: f64,
    rated_at: Option<ClockTime>,
}

/// How long a kind of call runs when it isn't refused.
#[derive(Clone, Copy, Debug)]
struct CallRun {
    mean_ms: f64,
    refused_at: Option<ClockTime>,
}

/// Tells refused callers when to come back, each at a time of its own, so that they come no
/// faster than the service has room for them.
///
/// Each caller gets the slot after the one that was handed out last, at a part of the rate that
/// was lately served of its team through the service. A caller whose kind of call runs longer
/// than others takes as much more. Teams have slots of their own, so one that is refused often doesn't put off the others.
#[derive(Clone, Debug)]
pub(crate) struct ReturnSlots {
    settings: AdmissionSettings,
    served: BTreeMap<(CallTarget, Option<TeamName>), EventRate>,
    runs: BTreeMap<CallTarget, CallRun>,
    queues: BTreeMap<(ServiceName, Option<TeamName>), ReturnQueue>,
}

impl ReturnSlots {
    /// Creates slots of which none is handed out.
    pub(crate) const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            served: BTreeMap::new(),
            runs: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Counts a whole request that was served.
    pub(crate) fn observe_served(
        &mut self,
        now: ClockTime,
        target: &CallTarget,
        team: Option<&TeamName>,
        run_ms: u64,
    ) {
        let run_ms = to_f64(run_ms);
        let run = self.runs.entry(target.clone()).or_insert(CallRun {
            mean_ms: run_ms,
            refused_at: None,
        });
        run.observe(now, run_ms);
        let key = (target.clone(), team.cloned());
        self.served.entry(key).or_default().count(now);
    }

    /// Hands out a slot and returns the time until then, in milliseconds.
    ///
    /// `passes` says which calls that enter pass the service that refused.
    pub(crate) fn hand_out(
        &mut self,
        now: ClockTime,
        refused: RefusedRequest<'_>,
        passes: impl Fn(&CallTarget) -> bool,
    ) -> u64 {
        let run_ms = self.note_refused(now, refused.target);
        let key = (refused.service.clone(), refused.team.cloned());
        let mut queue = self.queues.get(&key).copied().unwrap_or_default();
        if queue.is_rate_old(now) {
            self.forget_old(now);
            self.rate_queue(now, refused, passes, &mut queue);
        }
        let told_ms = queue.lead_left_ms(now, &self.settings);
        let most_ms = to_f64(self.settings.max_retry_after_ms);
        queue.lead_ms = (told_ms + queue.slot_ms(run_ms)).min(most_ms);
        queue.told_at = now;
        self.queues.insert(key, queue);
        if queue.lead_ms < most_ms {
            return to_ms(told_ms);
        }
        to_ms(most_ms * (MIN_SPREAD + (1.0 - MIN_SPREAD) * spread(refused.order)))
    }

    /// Forgets the kinds of call for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&CallTarget) -> bool) {
        self.served.retain(|(target, _), _| is_kept(target));
        self.runs.retain(|target, _| is_kept(target));
    }

    /// Notes that a kind of call was refused, and returns its run time in milliseconds.
    fn note_refused(&mut self, now: ClockTime, target: &CallTarget) -> f64 {
        let Some(run) = self.runs.get_mut(target) else {
            return UNKNOWN_RUN_MS;
        };
        run.refused_at = Some(now);
        run.mean_ms
    }

    /// Works out for how many callers of a team a service will have room.
    #[expect(clippy::cast_precision_loss, reason = "the number of teams is small")]
    fn rate_queue(
        &self,
        now: ClockTime,
        refused: RefusedRequest<'_>,
        passes: impl Fn(&CallTarget) -> bool,
        queue: &mut ReturnQueue,
    ) {
        let (mut whole, mut own, mut run_ms) = (0.0, 0.0, 0.0);
        for ((target, other), rate) in &self.served {
            if !passes(target) {
                continue;
            }
            let rate = rate.per_ms(now);
            whole += rate;
            run_ms += rate * self.runs.get(target).map_or(0.0, |run| run.mean_ms);
            if other.as_ref() == refused.team {
                own += rate;
            }
        }
        let queues = self.queues.keys();
        let teams = queues.filter(|(service, _)| service == refused.service);
        let least = whole / teams.count().max(1) as f64 * LEAST_TEAM_SHARE;
        queue.rate = (self.settings.return_share * own.max(least)).max(MIN_RATE);
        queue.run_ms = run_ms / whole.max(f64::MIN_POSITIVE);
        queue.rated_at = Some(now);
    }

    fn forget_old(&mut self, now: ClockTime) {
        self.served.retain(|_, rate| rate.per_ms(now) > FORGET_RATE);
        self.queues
            .retain(|_, queue| to_f64(now.since_ms(queue.told_at)) <= queue.lead_ms);
    }
}

impl CallRun {
    /// Takes in a run, unless it may have been slowed down by an overload.
    fn observe(&mut self, now: ClockTime, run_ms: f64) {
        let is_strained = self
            .refused_at
            .is_some_and(|refused_at| now.since_ms(refused_at) < STRAIN_MS);
        if !is_strained {
            self.mean_ms += RUN_GAIN * (run_ms - self.mean_ms);
        }
    }
}

impl ReturnQueue {
    /// Returns the time until the next free slot, in milliseconds.
    ///
    /// While nobody is refused the overload is over, so it shrinks faster than time passes.
    fn lead_left_ms(&self, now: ClockTime, settings: &AdmissionSettings) -> f64 {
        let calm_ms = to_f64(now.since_ms(self.told_at));
        let half_lives = calm_ms / to_f64(settings.return_half_life_ms.max(1));
        let lead_ms = (self.lead_ms - calm_ms) * (-half_lives).exp2();
        lead_ms.max(to_f64(settings.min_retry_after_ms))
    }

    /// Returns the time between a caller and the next, in milliseconds: longer when its kind of
    /// call runs longer than what is served.
    fn slot_ms(&self, run_ms: f64) -> f64 {
        f64::max(1.0, run_ms / self.run_ms.max(1.0)) / self.rate
    }

    fn is_rate_old(&self, now: ClockTime) -> bool {
        self.rated_at
            .is_none_or(|rated_at| now.since_ms(rated_at) >= RATE_LIFE_MS)
    }
}

/// Returns a part between 0 and 1 that differs from request to request.
fn spread(order: ShedOrder) -> f64 {
    let [_, low] = order.rank().to_be_bytes();
    f64::from(low) / f64::from(u8::MAX)
}
