use clock::ClockTime;
use model::ShedClass;

use crate::team_demand::DemandTable;
use crate::{QueueTicket, ShedThresholds};

/// The settings of a [`ShedControl`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedSettings {
    /// Whether new requests are cut at all.
    pub is_enabled: bool,
    /// Whether teams get max-min shares when something is cut.
    pub shares_by_team: bool,
    /// The most teams with cuts of their own, which travel with each answer.
    pub listed_teams: u16,
    /// Whether a team that was let in less than its share is let in more later.
    pub repays_teams: bool,
    /// The wait that is held while requests are cut, in milliseconds.
    pub target_wait_ms: u64,
    /// The time in which a wait above the target should be worked off, in milliseconds.
    pub horizon_ms: u64,
    /// The time in which a wait below the target should be filled up, in milliseconds.
    pub refill_ms: u64,
    /// The time between two changes of the cuts, in milliseconds.
    pub update_ms: u64,
    /// The time between two changes of the cuts while nothing waits and slots are free, in
    /// milliseconds.
    pub idle_update_ms: u64,
    /// The time over which demand is smoothed, in milliseconds.
    pub smooth_ms: u64,
}

impl Default for ShedSettings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            shares_by_team: true,
            listed_teams: 16,
            repays_teams: true,
            target_wait_ms: 80,
            horizon_ms: 300,
            refill_ms: 75,
            update_ms: 40,
            idle_update_ms: 10,
            smooth_ms: 200,
        }
    }
}

/// The smallest part of capacity that is let in.
const MIN_CAPACITY_SHARE: f64 = 0.2;

/// What is left of the capacity that new requests are let in to, after each update since the last of
/// which calls of requests already begun were given up.
const LOSS_FACTOR: f64 = 0.93;
/// How much of it comes back with each update without such a loss.
const LOSS_RETURN: f64 = 0.01;
/// The least part of capacity that losses leave.
const MIN_AFTER_LOSSES: f64 = 0.5;

/// How much more is let in for each free part of the limit.
const FREE_GAIN: f64 = 10.0;

/// What the control is told about the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueState {
    /// The time that a request of each class would wait for its class and those above, in
    /// milliseconds, the least important class first.
    pub waits_ms: [f64; ShedClass::COUNT],
    /// The work that the backend server can do, in milliseconds of expected run time a second.
    pub capacity: f64,
    /// The part of the limit that is free.
    pub free_share: f64,
    /// The calls of requests already begun that were given up since the last update.
    pub begun_losses: u32,
}

/// Sets the thresholds below which new requests are refused, from measured demand and waits.
#[derive(Clone, Debug)]
pub struct ShedControl {
    settings: ShedSettings,
    demand: DemandTable,
    cuts: ShedThresholds,
    updated: ClockTime,
    overload: f64,
    /// The part of capacity that new requests are let in to, lower after calls of begun ones
    /// were given up.
    kept_part: f64,
}

impl ShedControl {
    /// Creates a control that lets everything in.
    #[must_use]
    pub fn new(settings: ShedSettings) -> Self {
        Self {
            settings,
            demand: DemandTable::default(),
            cuts: ShedThresholds::default(),
            updated: ClockTime::ZERO,
            overload: 1.0,
            kept_part: 1.0,
        }
    }

    /// Returns the cuts in force.
    #[must_use]
    pub const fn cuts(&self) -> &ShedThresholds {
        &self.cuts
    }

    /// Returns the measured demand over capacity, at least 1.
    #[must_use]
    pub const fn overload(&self) -> f64 {
        self.overload
    }

    /// Returns the moment of the next change.
    #[must_use]
    pub const fn next_update(&self) -> ClockTime {
        self.updated.plus_ms(self.settings.update_ms)
    }

    /// Counts an arrival and returns whether a new request is let in.
    pub fn arrive(&mut self, ticket: &QueueTicket) -> bool {
        let is_admitted = self.cuts.admits(ticket.order, ticket.team.as_ref());
        if is_admitted {
            self.demand.count(ticket);
        }
        is_admitted
    }

    /// Charges a team for a request that was let in, whether by the cuts or in spite of them.
    pub fn charge(&mut self, ticket: &QueueTicket) {
        if self.settings.repays_teams && !self.cuts.is_open() {
            self.demand.charge(ticket);
        }
    }

    /// Changes the cuts when it is time to, and returns whether it was.
    pub fn update(&mut self, now: ClockTime, state: QueueState) -> bool {
        let span = now.since_ms(self.updated);
        if span < self.update_span_ms(state) {
            return false;
        }
        self.updated = now;
        self.note_losses(state.begun_losses);
        let span = to_float(span.min(self.settings.update_ms * 4));
        self.demand.fold(span, to_float(self.settings.smooth_ms));
        if !self.settings.is_enabled {
            return true;
        }
        let is_whole = self.kept_part >= 1.0;
        if is_whole
            && self.cuts.is_open()
            && state.waits_ms[0] < to_float(self.settings.target_wait_ms)
        {
            self.overload = 1.0;
            return true;
        }
        self.overload = (self.demand.total() / state.capacity).max(1.0);
        let capacities = state
            .waits_ms
            .map(|wait| state.capacity * self.capacity_share(wait, state.free_share))
            .map(|share| share * self.kept_part);
        self.cuts = if self.settings.shares_by_team {
            let listed = usize::from(self.settings.listed_teams);
            self.demand
                .divide_by_team(capacities, state.capacity, listed)
        } else {
            self.demand.divide_by_class(capacities)
        };
        if self.cuts.is_open() {
            self.demand.open();
        }
        true
    }

    /// Lets in less after calls of requests already begun were given up: each such loss wastes all
    /// that was done for its request, at this service and at those above.
    fn note_losses(&mut self, losses: u32) {
        self.kept_part = if losses > 0 {
            (self.kept_part * LOSS_FACTOR).max(MIN_AFTER_LOSSES)
        } else {
            (self.kept_part + LOSS_RETURN).min(1.0)
        };
    }

    /// Returns the time between two changes, which is shorter while slots are free for requests
    /// that are refused.
    fn update_span_ms(&self, state: QueueState) -> u64 {
        let is_idle = state.waits_ms[0] == 0.0 && state.free_share > 0.0;
        if is_idle && !self.cuts.is_open() {
            self.settings.idle_update_ms
        } else {
            self.settings.update_ms
        }
    }

    /// Returns the part of capacity to let in, so that a wait comes back to the target and free
    /// slots fill up.
    fn capacity_share(&self, wait_ms: f64, free_share: f64) -> f64 {
        let target = to_float(self.settings.target_wait_ms);
        let span = if wait_ms < target {
            self.settings.refill_ms
        } else {
            self.settings.horizon_ms
        };
        let correction = (target - wait_ms) / to_float(span);
        (1.0 + correction + FREE_GAIN * free_share).max(MIN_CAPACITY_SHARE)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
