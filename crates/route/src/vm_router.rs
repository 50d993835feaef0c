use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, LoadNews, VmName};
use rand::Rng;

use crate::call_profile::CallProfiles;
use crate::vm_state::VmState;
use crate::{LoadSample, RouteCall, RouteOutcome, RouteSettings, RouteTarget};

/// The factor over the service's median latency from which a VM counts as slow.
const SLOW_FACTOR: f64 = 1.3;
/// How long other VMs are preferred after a VM has refused a request because its backend server
/// accepts fewer requests at present, in milliseconds.
const LIMITED_MS: u64 = 200;
/// The mean load of a service before the first report, as a fraction of the limits.
const INITIAL_LOAD: f64 = 0.5;

/// Chooses a VM of one service for each request.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use model::VmName;
/// use lentilshift_route::{RouteSettings, RouteTarget, VmRouter};
/// use rand::SeedableRng;
///
/// let mut router = VmRouter::new(RouteSettings::default(), "north".into());
/// let target = RouteTarget {
///     centre: "north".into(),
///     slots: 25,
/// };
/// router.upsert(VmName::new("registry-1"), target);
/// let mut random = rand::rngs::SmallRng::seed_from_u64(1);
/// let vm = router.choose(ClockTime::ZERO, &mut random, &[]);
/// assert_eq!(vm, Some(VmName::new("registry-1")));
/// ```
#[derive(Clone, Debug)]
pub struct VmRouter {
    pub(crate) settings: RouteSettings,
    pub(crate) centre: CentreName,
    pub(crate) states: BTreeMap<VmName, VmState>,
    /// The VMs by the digests that stand for them in messages.
    pub(crate) digests: BTreeMap<u32, VmName>,
    pub(crate) profiles: CallProfiles,
    /// The mean of the loads reported of late, as a fraction of the limits.
    pub(crate) mean_load: f64,
    /// Whether a VM has reported how long work takes on its host.
    pub(crate) has_stated: bool,
    median_ms: f64,
}

impl VmRouter {
    /// Creates a router without VMs, for a caller in the data centre `centre`.
    #[must_use]
    pub const fn new(settings: RouteSettings, centre: CentreName) -> Self {
        Self {
            settings,
            centre,
            states: BTreeMap::new(),
            digests: BTreeMap::new(),
            profiles: CallProfiles::new(),
            mean_load: INITIAL_LOAD,
            has_stated: false,
            median_ms: 1.0,
        }
    }

    /// Adds a VM or updates what it announces; measurements of a known VM are kept.
    pub fn upsert(&mut self, vm: VmName, target: RouteTarget) {
        if let Some(state) = self.states.get_mut(&vm) {
            state.target = target;
            return;
        }
        self.digests.insert(LoadNews::digest_of(&vm), vm.clone());
        self.states.insert(vm, VmState::new(target));
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.states.remove(vm);
        self.digests.remove(&LoadNews::digest_of(vm));
    }

    /// Marks a VM as leaving, so that it gets no new requests.
    pub fn mark_leaving(&mut self, vm: &VmName) {
        if let Some(state) = self.states.get_mut(vm) {
            state.is_leaving = true;
        }
    }

    /// Returns whether a VM is known and currently ejected.
    #[must_use]
    pub fn is_ejected(&self, vm: &VmName) -> bool {
        let state = self.states.get(vm);
        state.is_some_and(|state| state.health.is_ejected())
    }

    /// Returns the names of the VMs in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &VmName> {
        self.states.keys()
    }

    /// Returns the requests in progress that the caller has sent to a VM.
    #[must_use]
    pub fn in_flight(&self, vm: &VmName) -> u32 {
        self.states.get(vm).map_or(0, |state| state.in_flight)
    }

    /// Returns the number of VMs that may be chosen.
    #[must_use]
    pub fn available_count(&self) -> usize {
        self.states
            .values()
            .filter(|state| is_available(state))
            .count()
    }

    /// Returns whether there is a VM that isn't in `tried` and whose backend server isn't known to
    /// accept fewer requests at present.
    #[must_use]
    pub fn has_unlimited(&self, now: ClockTime, tried: &[VmName]) -> bool {
        let mut untried = self.states.iter().filter(|(vm, _)| !tried.contains(vm));
        untried.any(|(_, state)| is_available(state) && !state.is_limited(now))
    }

    /// Chooses a VM that isn't in `tried`, or returns `None` when there is none.
    ///
    /// A VM that has just refused a request at the rate that its backend server states is chosen
    /// only if there is no other one.
    pub fn choose(
        &mut self,
        now: ClockTime,
        random: &mut impl Rng,
        tried: &[VmName],
    ) -> Option<VmName> {
        self.choose_for(now, random, tried, RouteCall::default())
    }

    /// Chooses a VM for a call as [`choose`](Self::choose) does, with regard to its size.
    pub fn choose_for(
        &mut self,
        now: ClockTime,
        random: &mut impl Rng,
        tried: &[VmName],
        call: RouteCall,
    ) -> Option<VmName> {
        let mut available: Vec<(&VmName, &VmState)> = self
            .states
            .iter()
            .filter(|(vm, state)| is_available(state) && !tried.contains(vm))
            .collect();
        if available.iter().any(|(_, state)| !state.is_limited(now)) {
            available.retain(|(_, state)| !state.is_limited(now));
        }
        if self.compares_room() {
            let chosen = self.choose_by_room(now, random, &available, call);
            return chosen.map(|(vm, _)| vm.clone());
        }
        if self.settings.prefers_local {
            let local: Vec<(&VmName, &VmState)> = available
                .iter()
                .filter(|(_, state)| state.target.centre == self.centre)
                .copied()
                .collect();
            let nearest = self.pick(now, random, &local);
            if let Some((vm, state)) = nearest
                && self.has_capacity(now, state)
            {
                return Some(vm.clone());
            }
        }
        self.pick(now, random, &available).map(|(vm, _)| vm.clone())
    }

    /// Records that a request is sent to a VM at `now`.
    pub fn begin(&mut self, now: ClockTime, vm: &VmName) {
        let compares_room = self.compares_room();
        if let Some(state) = self.states.get_mut(vm) {
            state.in_flight += 1;
            if compares_room {
                state.room.record_send(now);
            }
        }
    }

    /// Records how a request sent to a VM ended, and the load reported with the answer.
    pub fn finish(
        &mut self,
        now: ClockTime,
        vm: &VmName,
        outcome: RouteOutcome,
        sample: Option<LoadSample>,
    ) {
        let settings = self.settings;
        let can_eject = self.can_eject();
        if let Some(sample) = sample {
            self.record_report(now, vm, sample);
        }
        let Some(state) = self.states.get_mut(vm) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(sample) = sample {
            state.record_sample(now, sample);
        }
        if let RouteOutcome::Succeeded { latency_ms } = outcome {
            state.record_latency(latency_ms);
        }
        if outcome == RouteOutcome::Limited {
            state.limited_until = now.plus_ms(LIMITED_MS);
        }
        if state.health.record(outcome, &settings) && settings.ejects {
            state.health.eject(now, !can_eject, &settings);
        }
    }

    /// Readmits VMs whose ejection has ended, and updates the service's median latency.
    pub fn tick(&mut self, now: ClockTime) {
        for state in self.states.values_mut() {
            state.health.readmit(now);
        }
        let mut latencies: Vec<f64> = self
            .states
            .values()
            .filter_map(VmState::latency_ms)
            .collect();
        latencies.sort_by(f64::total_cmp);
        if let Some(median) = latencies.get(latencies.len() / 2) {
            self.median_ms = *median;
        }
    }

    fn has_capacity(&self, now: ClockTime, state: &VmState) -> bool {
        !state.health.is_last_resort()
            && state.load(now, &self.settings) < self.settings.spill_load
            && state.relative_latency(self.median_ms) < SLOW_FACTOR
    }

    fn pick<'a>(
        &self,
        now: ClockTime,
        random: &mut impl Rng,
        vms: &[(&'a VmName, &'a VmState)],
    ) -> Option<(&'a VmName, &'a VmState)> {
        let count = vms.len();
        if count == 0 {
            return None;
        }
        let first = random.random_range(0..count);
        if count == 1 || !self.settings.compares_two {
            return Some(vms[first]);
        }
        let second = (first + random.random_range(1..count)) % count;
        let score = |index: usize| vms[index].1.score(now, &self.settings, self.median_ms);
        Some(
            vms[if score(second) < score(first) {
                second
            } else {
                first
            }],
        )
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "the number of VMs of a service is small"
    )]
    fn can_eject(&self) -> bool {
        let present = self.states.values().filter(|state| !state.is_leaving);
        let count = present.clone().count();
        let ejected = present.filter(|state| state.health.is_ejected()).count();
        (ejected + 1) as f64 <= count as f64 * self.settings.max_ejected_share
    }
}

pub(crate) const fn is_available(state: &VmState) -> bool {
    !state.is_leaving && !state.health.is_ejected()
}
