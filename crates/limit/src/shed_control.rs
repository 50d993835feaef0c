use clock::ClockTime;
use model::ShedClass;

use crate::team_demand::DemandTable;
use crate::{QueueTicket, ShedThresholds};

/// The settings of a [`ShedControl`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedSettings {
    /// Whether new requests are shed at all.
    pub is_enabled: bool,
    /// Whether capacity is divided into max-min fair shares by team while requests are shed.
    pub shares_by_team: bool,
    /// The most teams with a threshold of their own; all of them are sent with each answer.
    pub listed_teams: u16,
    /// Whether a team that was admitted less than its share is admitted more later.
    pub compensates_teams: bool,
    /// The queueing delay aimed at while requests are shed, in milliseconds.
    pub target_wait_ms: u64,
    /// The time in which a backlog above the target wait should be drained, in milliseconds.
    pub backlog_drain_ms: u64,
    /// The time in which a queue below the target wait should be refilled, in milliseconds.
    pub refill_ms: u64,
    /// The time between two updates of the thresholds, in milliseconds.
    pub update_ms: u64,
    /// The time between two updates of the thresholds while no request waits and slots are free, in
    /// milliseconds.
    pub idle_update_ms: u64,
    /// The time constant for smoothing demand, in milliseconds.
    pub smoothing_ms: u64,
}

impl Default for ShedSettings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            shares_by_team: true,
            listed_teams: 16,
            compensates_teams: true,
            target_wait_ms: 80,
            backlog_drain_ms: 300,
            refill_ms: 75,
            update_ms: 40,
            idle_update_ms: 10,
            smoothing_ms: 200,
        }
    }
}

/// The smallest fraction of capacity that is admitted.
const MIN_CAPACITY_SHARE: f64 = 0.2;

/// The factor on the admitted fraction of capacity at each update before which nested calls were
/// dropped.
const LOSS_FACTOR: f64 = 0.93;
/// The recovery of the admitted fraction at each update without a dropped nested call.
const LOSS_RECOVERY: f64 = 0.01;
/// The lowest admitted fraction of capacity after dropped nested calls.
const MIN_ADMITTED_FRACTION: f64 = 0.5;

/// The increase of the admitted capacity per fraction of the limit that is free.
const FREE_SLOT_GAIN: f64 = 10.0;

/// The state of the queue that the control takes as input.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueState {
    /// For each class, the least important first: the time in milliseconds that a request of it
    /// would wait for the queued work of its class and those above.
    pub waits_ms: [f64; ShedClass::COUNT],
    /// The work that the backend server can do, in milliseconds of expected run time per second.
    pub capacity: f64,
    /// The fraction of the limit that is free.
    pub free_fraction: f64,
    /// The nested calls that were dropped since the last update.
    pub nested_losses: u32,
}

/// Sets the thresholds below which new requests are refused, from measured demand and waits.
#[derive(Clone, Debug)]
pub struct ShedControl {
    settings: ShedSettings,
    demand: DemandTable,
    thresholds: ShedThresholds,
    updated: ClockTime,
    overload: f64,
    /// The fraction of capacity that is open to new requests; it falls after nested calls were
    /// dropped.
    admitted_fraction: f64,
}

impl ShedControl {
    /// Creates a control that admits everything.
    #[must_use]
    pub fn new(settings: ShedSettings) -> Self {
        Self {
            settings,
            demand: DemandTable::default(),
            thresholds: ShedThresholds::default(),
            updated: ClockTime::ZERO,
            overload: 1.0,
            admitted_fraction: 1.0,
        }
    }

    /// Returns the current thresholds.
    #[must_use]
    pub const fn thresholds(&self) -> &ShedThresholds {
        &self.thresholds
    }

    /// Returns the measured demand over capacity, at least 1.
    #[must_use]
    pub const fn overload(&self) -> f64 {
        self.overload
    }

    /// Returns the time of the next update.
    #[must_use]
    pub const fn next_update(&self) -> ClockTime {
        self.updated.plus_ms(self.settings.update_ms)
    }

    /// Counts an arrival and returns whether a new request is admitted.
    pub fn record_arrival(&mut self, ticket: &QueueTicket) -> bool {
        let is_admitted = self.thresholds.admits(ticket.order, ticket.team.as_ref());
        if is_admitted {
            self.demand.record_arrival(ticket);
        }
        is_admitted
    }

    /// Charges a team for a request that was admitted, whether it passed the thresholds or was
    /// exempt from them.
    pub fn charge(&mut self, ticket: &QueueTicket) {
        if self.settings.compensates_teams && !self.thresholds.is_open() {
            self.demand.charge(ticket);
        }
    }

    /// Updates the thresholds if an update is due, and returns whether it was.
    pub fn update(&mut self, now: ClockTime, state: QueueState) -> bool {
        let span = now.since_ms(self.updated);
        if span < self.update_span_ms(state) {
            return false;
        }
        self.updated = now;
        self.apply_losses(state.nested_losses);
        let span = to_float(span.min(self.settings.update_ms * 4));
        self.demand
            .update_rates(span, to_float(self.settings.smoothing_ms));
        if !self.settings.is_enabled {
            return true;
        }
        let is_unreduced = self.admitted_fraction >= 1.0;
        if is_unreduced
            && self.thresholds.is_open()
            && state.waits_ms[0] < to_float(self.settings.target_wait_ms)
        {
            self.overload = 1.0;
            return true;
        }
        self.overload = (self.demand.total_demand() / state.capacity).max(1.0);
        let capacities = state
            .waits_ms
            .map(|wait| state.capacity * self.capacity_share(wait, state.free_fraction))
            .map(|share| share * self.admitted_fraction);
        self.thresholds = if self.settings.shares_by_team {
            let listed = usize::from(self.settings.listed_teams);
            self.demand
                .divide_by_team(capacities, state.capacity, listed)
        } else {
            self.demand.divide_by_class(capacities)
        };
        if self.thresholds.is_open() {
            self.demand.reset_shedding();
        }
        true
    }

    /// Reduces the admitted fraction after nested calls were dropped: each such loss wastes all the
    /// work done for its request, at this service and upstream.
    fn apply_losses(&mut self, losses: u32) {
        self.admitted_fraction = if losses > 0 {
            (self.admitted_fraction * LOSS_FACTOR).max(MIN_ADMITTED_FRACTION)
        } else {
            (self.admitted_fraction + LOSS_RECOVERY).min(1.0)
        };
    }

    /// Returns the time between two updates, which is shorter while requests are refused although
    /// slots are free.
    fn update_span_ms(&self, state: QueueState) -> u64 {
        let is_idle = state.waits_ms[0] == 0.0 && state.free_fraction > 0.0;
        if is_idle && !self.thresholds.is_open() {
            self.settings.idle_update_ms
        } else {
            self.settings.update_ms
        }
    }

    /// Returns the fraction of capacity to admit, so that the wait returns to the target and free
    /// slots fill up.
    fn capacity_share(&self, wait_ms: f64, free_fraction: f64) -> f64 {
        let target = to_float(self.settings.target_wait_ms);
        let span = if wait_ms < target {
            self.settings.refill_ms
        } else {
            self.settings.backlog_drain_ms
        };
        let correction = (target - wait_ms) / to_float(span);
        (1.0 + correction + FREE_SLOT_GAIN * free_fraction).max(MIN_CAPACITY_SHARE)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float(span_ms: u64) -> f64 {
    span_ms as f64
}
