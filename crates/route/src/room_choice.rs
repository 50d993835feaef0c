use std::iter;

use clock::ClockTime;
use model::{CallName, LoadNews, VmName};
use rand::Rng;
use rand::seq::index;

use crate::room_state::load_of;
use crate::vm_router::{VmRouter, is_available};
use crate::vm_state::VmState;
use crate::{LoadSample, RoomRule};

/// The weight of one report in the moving average of the service's load.
const MEAN_LOAD_GAIN: f64 = 0.05;
/// The time from taking figures to their arrival, in milliseconds.
const TRANSIT_MS: u64 = 1;

/// What a router needs to know of a call to choose a VM for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteCall<'c> {
    /// The kind of call.
    pub call: Option<&'c CallName>,
    /// The length of its body, in bytes.
    pub body_bytes: u64,
}

type Candidate<'a> = (&'a VmName, &'a VmState);

impl VmRouter {
    /// Returns whether VMs are chosen by their free room at present.
    #[must_use]
    pub const fn compares_room(&self) -> bool {
        match self.settings.room.rule {
            RoomRule::WhenStated => self.has_stated,
            RoomRule::Always => true,
            RoomRule::Never => false,
        }
    }

    /// Records the run time and the answer's length of a call that a VM ran.
    pub fn record_run(&mut self, vm: &VmName, call: &CallName, run_ms: u32, answer_bytes: u64) {
        if !self.compares_room() {
            return;
        }
        let ratio = self.profiles.record(call, run_ms, answer_bytes);
        if let Some(state) = self.states.get_mut(vm) {
            state.room.record_run(ratio);
        }
    }

    /// Returns whether another VM is known to have room for a call that `chosen` might send on.
    #[must_use]
    pub fn has_room_beside(
        &self,
        now: ClockTime,
        chosen: &VmName,
        tried: &[VmName],
        call: RouteCall,
    ) -> bool {
        let room = &self.settings.room;
        let is_small = self.is_small(call);
        self.compares_room()
            && room.moves_calls
            && call.body_bytes <= room.small_bytes
            && self.states.iter().any(|(vm, state)| {
                let is_near = is_small || state.target.centre == self.centre;
                let is_fresh = state.room.fresh(now, room).is_some();
                is_near
                    && is_fresh
                    && vm != chosen
                    && !tried.contains(vm)
                    && is_available(state)
                    && !state.is_limited(now)
                    && state.room.load(now, room, self.mean_load) <= room.room_load
            })
    }

    /// Returns the number of figures that a message to or from `vm` carries, given its length in
    /// bytes.
    #[must_use]
    pub fn news_count(&self, vm: &VmName, bytes: u64) -> usize {
        let room = &self.settings.room;
        let state = self.states.get(vm).filter(|_| self.compares_room());
        match state {
            None => 0,
            Some(state) if state.target.centre == self.centre => room.near_news,
            Some(_) => {
                let count = bytes / room.bytes_per_far_news.max(1);
                usize::try_from(count).map_or(room.near_news, |count| count.min(room.near_news))
            }
        }
    }

    /// Returns the mean length of the answers to a call, in bytes.
    #[must_use]
    pub fn answer_bytes(&self, call: &CallName) -> u64 {
        self.profiles.answer_bytes(call)
    }

    /// Returns the newest figures about up to `count` VMs other than `except`, to pass on in a
    /// message.
    #[must_use]
    pub fn news(&self, now: ClockTime, except: &VmName, count: usize) -> Vec<LoadNews> {
        let room = &self.settings.room;
        if !self.compares_room() || count == 0 {
            return Vec::new();
        }
        let mut newest: Vec<(u64, &VmName, LoadSample)> = Vec::with_capacity(count + 1);
        for (vm, state) in self.states.iter().filter(|(vm, _)| *vm != except) {
            let Some((age_ms, sample)) = state.room.fresh(now, room) else {
                continue;
            };
            let place = newest.partition_point(|(age, ..)| *age <= age_ms);
            if place < count {
                newest.insert(place, (age_ms, vm, sample));
                newest.truncate(count);
            }
        }
        newest
            .into_iter()
            .map(|(age_ms, vm, sample)| news_of(vm, age_ms, &sample))
            .collect()
    }

    /// Records the figures about VMs that a message has passed on. Those of unknown VMs, and those
    /// older than what is known, are ignored.
    pub fn record_news(&mut self, now: ClockTime, news: &[LoadNews]) {
        let has_stated = |item: &LoadNews| item.slowness > 0 && self.digests.contains_key(&item.vm);
        self.has_stated |= news.iter().any(has_stated);
        if !self.compares_room() {
            return;
        }
        for item in news {
            let Some(vm) = self.digests.get(&item.vm) else {
                continue;
            };
            let Some(state) = self.states.get_mut(vm).filter(|_| item.limit > 0) else {
                continue;
            };
            let sample = LoadSample {
                in_flight: u32::from(item.busy),
                limit: u32::from(item.limit),
                queued: 0,
                slowness: item.slowness,
            };
            let taken_at = now.minus_ms(u64::from(item.age_ms) + TRANSIT_MS);
            if state.room.record_figures(taken_at, sample) {
                self.mean_load += MEAN_LOAD_GAIN * (load_of(&sample) - self.mean_load);
            }
        }
    }

    /// Returns the mean age of the figures that are fresh, in milliseconds, and their number.
    #[must_use]
    pub fn news_age_ms(&self, now: ClockTime) -> (u64, u64) {
        let room = &self.settings.room;
        let ages = self
            .states
            .values()
            .filter_map(|state| state.room.fresh(now, room));
        let (sum, count) = ages.fold((0, 0), |(sum, count), (age_ms, _)| {
            (sum + age_ms, count + 1)
        });
        (sum / count.max(1), count)
    }

    /// Records the load that a VM reported with an answer of its own.
    pub(crate) fn record_report(&mut self, now: ClockTime, vm: &VmName, sample: LoadSample) {
        self.has_stated |= sample.slowness > 0;
        if !self.compares_room() {
            return;
        }
        if let Some(state) = self.states.get_mut(vm)
            && state.room.record_figures(now.minus_ms(TRANSIT_MS), sample)
        {
            self.mean_load += MEAN_LOAD_GAIN * (load_of(&sample) - self.mean_load);
        }
    }

    /// Chooses among VMs by their room; see the design note on load news.
    pub(crate) fn choose_by_room<'a>(
        &self,
        now: ClockTime,
        random: &mut impl Rng,
        available: &[Candidate<'a>],
        call: RouteCall,
    ) -> Option<Candidate<'a>> {
        let prefers_local = self.settings.prefers_local;
        let is_near = |state: &VmState| !prefers_local || state.target.centre == self.centre;
        let (near, far): (Vec<Candidate>, Vec<Candidate>) =
            available.iter().partition(|(_, state)| is_near(state));
        let Some(drawn) = self.cheapest_drawn(now, random, &near) else {
            return self.cheapest_drawn(now, random, &far);
        };
        let room = &self.settings.room;
        let is_small = self.is_small(call);
        let spill_load = if is_small {
            room.small_spill_load
        } else {
            room.spill_load
        };
        if self.has_room(now, drawn, spill_load) {
            return Some(drawn);
        }
        let best = self.cheapest(now, iter::once(&drawn).chain(&near));
        let best = best.unwrap_or(drawn);
        if self.has_room(now, best, spill_load) {
            return Some(best);
        }
        let Some(remote) = self.cheapest_drawn(now, random, &far) else {
            return Some(best);
        };
        let load = |candidate: Candidate| candidate.1.room.load(now, room, self.mean_load);
        let is_worth_it = load(remote) <= load(best) - room.spill_gain;
        Some(if is_worth_it { remote } else { best })
    }

    fn is_small(&self, call: RouteCall) -> bool {
        let answer_bytes = call.call.map_or(0, |call| self.profiles.answer_bytes(call));
        call.body_bytes.saturating_add(answer_bytes) <= self.settings.room.small_bytes
    }

    fn has_room(&self, now: ClockTime, candidate: Candidate, spill_load: f64) -> bool {
        let state = candidate.1;
        !state.health.is_last_resort()
            && state.room.load(now, &self.settings.room, self.mean_load) <= spill_load
    }

    /// Returns the cheapest of a few VMs drawn at random.
    fn cheapest_drawn<'a>(
        &self,
        now: ClockTime,
        random: &mut impl Rng,
        vms: &[Candidate<'a>],
    ) -> Option<Candidate<'a>> {
        let amount = self.settings.room.compared_vms.clamp(1, vms.len().max(1));
        if vms.len() <= 1 {
            return vms.first().copied();
        }
        let drawn: Vec<Candidate> = index::sample(random, vms.len(), amount)
            .iter()
            .map(|place| vms[place])
            .collect();
        self.cheapest(now, &drawn)
    }

    /// Returns the cheapest VM, the first of them if there are several.
    fn cheapest<'a, 'b>(
        &self,
        now: ClockTime,
        vms: impl IntoIterator<Item = &'b Candidate<'a>>,
    ) -> Option<Candidate<'a>>
    where
        'a: 'b,
    {
        let room = &self.settings.room;
        let cost = |candidate: &Candidate| {
            let is_last = candidate.1.health.is_last_resort();
            (is_last, candidate.1.room.cost(now, room, self.mean_load))
        };
        let keyed = vms
            .into_iter()
            .map(|candidate| (cost(candidate), candidate));
        let cheapest = keyed.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        cheapest.map(|(_, candidate)| *candidate)
    }
}

fn news_of(vm: &VmName, age_ms: u64, sample: &LoadSample) -> LoadNews {
    let narrow = |figure: u32| u16::try_from(figure).unwrap_or(u16::MAX);
    LoadNews {
        vm: LoadNews::digest_of(vm),
        busy: narrow(sample.in_flight.saturating_add(sample.queued)),
        limit: narrow(sample.limit),
        slowness: sample.slowness,
        age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
    }
}
