use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, VmName};
use rand::Rng;

use crate::vm_state::VmState;
use crate::{LoadSample, RouteOutcome, RouteSettings, RouteTarget};

/// A VM is slow when its latency is above the service's usual one by this factor.
const SLOW_FACTOR: f64 = 1.3;

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
    settings: RouteSettings,
    centre: CentreName,
    states: BTreeMap<VmName, VmState>,
    usual_ms: f64,
}

impl VmRouter {
    /// Creates a router without VMs, for a caller in a data centre.
    #[must_use]
    pub const fn new(settings: RouteSettings, centre: CentreName) -> Self {
        Self {
            settings,
            centre,
            states: BTreeMap::new(),
            usual_ms: 1.0,
        }
    }

    /// Adds a VM, or changes what it announces; what was observed of a known one stays.
    pub fn upsert(&mut self, vm: VmName, target: RouteTarget) {
        match self.states.get_mut(&vm) {
            Some(state) => state.target = target,
            None => {
                self.states.insert(vm, VmState::new(target));
            }
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.states.remove(vm);
    }

    /// Notes that a VM is leaving and gets no new requests.
    pub fn leaving(&mut self, vm: &VmName) {
        if let Some(state) = self.states.get_mut(vm) {
            state.is_leaving = true;
        }
    }

    /// Returns whether a VM is known and gets no requests for a while because of its failures.
    #[must_use]
    pub fn is_ejected(&self, vm: &VmName) -> bool {
        let state = self.states.get(vm);
        state.is_some_and(|state| state.health.is_ejected())
    }

    /// Returns the names of the VMs, in order.
    pub fn names(&self) -> impl Iterator<Item = &VmName> {
        self.states.keys()
    }

    /// Returns the number of VMs that may be chosen.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.states.values().filter(|state| is_open(state)).count()
    }

    /// Chooses a VM that isn't in `tried`, or returns `None` when there is none.
    pub fn choose(
        &mut self,
        now: ClockTime,
        random: &mut impl Rng,
        tried: &[VmName],
    ) -> Option<VmName> {
        let open: Vec<(&VmName, &VmState)> = self
            .states
            .iter()
            .filter(|(vm, state)| is_open(state) && !tried.contains(vm))
            .collect();
        if self.settings.prefers_local {
            let local: Vec<(&VmName, &VmState)> = open
                .iter()
                .filter(|(_, state)| state.target.centre == self.centre)
                .copied()
                .collect();
            let nearest = self.pick(now, random, &local);
            if let Some((vm, state)) = nearest
                && self.has_room(now, state)
            {
                return Some(vm.clone());
            }
        }
        self.pick(now, random, &open).map(|(vm, _)| vm.clone())
    }

    /// Notes that a request was sent to a VM.
    pub fn begin(&mut self, vm: &VmName) {
        if let Some(state) = self.states.get_mut(vm) {
            state.in_flight += 1;
        }
    }

    /// Notes how a request sent to a VM ended, and the load that came with the answer.
    pub fn finish(
        &mut self,
        now: ClockTime,
        vm: &VmName,
        outcome: RouteOutcome,
        sample: Option<LoadSample>,
    ) {
        let settings = self.settings;
        let can_eject = self.can_eject();
        let Some(state) = self.states.get_mut(vm) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(sample) = sample {
            state.note_sample(now, sample);
        }
        if let RouteOutcome::Succeeded { latency_ms } = outcome {
            state.note_latency(latency_ms);
        }
        if state.health.note(outcome, &settings) && settings.ejects {
            state.health.eject(now, !can_eject, &settings);
        }
    }

    /// Takes back VMs whose ejection has ended, and renews the service's usual latency.
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
            self.usual_ms = *median;
        }
    }

    fn has_room(&self, now: ClockTime, state: &VmState) -> bool {
        !state.health.is_last_resort()
            && state.load(now, &self.settings) < self.settings.spill_load
            && state.slowness(self.usual_ms) < SLOW_FACTOR
    }

    fn pick<'a>(
        &self,
        now: ClockTime,
        random: &mut impl Rng,
        open: &[(&'a VmName, &'a VmState)],
    ) -> Option<(&'a VmName, &'a VmState)> {
        let count = open.len();
        if count == 0 {
            return None;
        }
        let first = random.random_range(0..count);
        if count == 1 || !self.settings.compares_two {
            return Some(open[first]);
        }
        let second = (first + random.random_range(1..count)) % count;
        let score = |index: usize| open[index].1.score(now, &self.settings, self.usual_ms);
        Some(
            open[if score(second) < score(first) {
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

const fn is_open(state: &VmState) -> bool {
    !state.is_leaving && !state.health.is_ejected()
}
