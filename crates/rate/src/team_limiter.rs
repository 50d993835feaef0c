mod slot_records;

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::lease_fold::LeaseFold;
use crate::rate_allocator::RateAllocator;
use crate::slot_rank::SlotRank;
use crate::slot_standby::SlotStandby;
use crate::team_share::slot_of;
use crate::token_holder::TokenHolder;
use crate::{
    RateAction, RateDecision, RateMessage, RateRecord, RateSettings, RateSnapshot, TeamEntry,
    TeamRate,
};

/// The interval between checks of leases, tables and snapshots, in milliseconds.
const CONTROL_PERIOD_MS: u64 = 100;
/// The interval between checks of pending token requests and grants, in milliseconds.
const BUSY_PERIOD_MS: u64 = 4;
/// The delay between the nodes in rank order that may claim a vacant lease, in milliseconds; also
/// the time before a table or snapshot is proposed again.
const RANK_STAGGER_MS: u64 = 2_000;

/// The number of candidates in addition to the successors, used when some of these don't answer.
const SPARE_CANDIDATES: usize = 2;

/// Enforces the rate limits of all teams on one node.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    vm: VmName,
    centre: CentreName,
    settings: RateSettings,
    folds: BTreeMap<u16, LeaseFold>,
    allocators: BTreeMap<u16, RateAllocator>,
    holder: TokenHolder,
    live_centres: BTreeSet<CentreName>,
    ranks: BTreeMap<u16, SlotRank>,
    teams: BTreeMap<u16, Vec<TeamEntry>>,
    version: Option<u64>,
    caught_up_at: Option<ClockTime>,
    tables_tried: BTreeMap<u16, ClockTime>,
    snapshots_tried: BTreeMap<u16, ClockTime>,
    next_offset: u64,
    polled_at: ClockTime,
    control_at: ClockTime,
    /// When the log was last found to have come back without its last records.
    returned_at: Option<ClockTime>,
    /// Whether the records from before that are being read again.
    is_returning: bool,
}

impl TeamLimiter {
    /// Creates the limiter of the node on `vm` in `centre`.
    #[must_use]
    pub fn new(vm: VmName, centre: CentreName, settings: RateSettings) -> Self {
        let allocator = |slot| (slot, RateAllocator::new(slot, vm.clone(), centre.clone()));
        Self {
            allocators: (0..settings.slots).map(allocator).collect(),
            folds: (0..settings.slots)
                .map(|slot| (slot, LeaseFold::default()))
                .collect(),
            holder: TokenHolder::new(centre.clone()),
            vm,
            centre,
            settings,
            live_centres: BTreeSet::new(),
            ranks: BTreeMap::new(),
            teams: BTreeMap::new(),
            version: None,
            caught_up_at: None,
            tables_tried: BTreeMap::new(),
            snapshots_tried: BTreeMap::new(),
            next_offset: 0,
            polled_at: ClockTime::ZERO,
            control_at: ClockTime::ZERO,
            returned_at: None,
            is_returning: false,
        }
    }

    /// Decides on a new request of `team`.
    pub fn admit(&mut self, now: ClockTime, team: &TeamName) -> RateDecision {
        self.holder.admit(now, team, true, &self.settings)
    }

    /// Decides again on a request that got [`RateDecision::Wait`].
    pub fn admit_again(&mut self, now: ClockTime, team: &TeamName) -> RateDecision {
        self.holder.admit(now, team, false, &self.settings)
    }

    /// Records that a request that got [`RateDecision::Wait`] has stopped waiting.
    pub fn stop_waiting(&mut self, team: &TeamName) {
        self.holder.stop_waiting(team);
    }

    /// Returns whether waiting requests should be decided again, as an answer has arrived since the
    /// last call.
    pub fn take_wake_up(&mut self) -> bool {
        self.holder.take_wake_up()
    }

    /// Replaces the rates of all teams, unless `version` isn't newer than the current one.
    pub fn set_contract(
        &mut self,
        teams: impl IntoIterator<Item = (TeamName, TeamRate)>,
        version: u64,
    ) {
        if self.version.is_some_and(|last| version <= last) {
            return;
        }
        self.version = Some(version);
        self.teams.clear();
        let teams: BTreeMap<TeamName, TeamRate> = teams.into_iter().collect();
        let names: Vec<TeamName> = teams.keys().cloned().collect();
        self.holder.set_teams(&names);
        for (team, rate) in teams {
            let slot = slot_of(&team, self.settings.slots);
            self.teams
                .entry(slot)
                .or_default()
                .push(TeamEntry { team, rate });
        }
        for fold in self.folds.values() {
            self.holder
                .set_allocating_centres(fold.allocating_centres());
        }
    }

    /// Replaces the list of live nodes, this one included.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmName, CentreName)>) {
        let members: BTreeMap<VmName, CentreName> = members.into_iter().collect();
        let is_near = |(_, centre): &(&VmName, &CentreName)| **centre == self.centre;
        let near: Vec<&VmName> = members.iter().filter(is_near).map(|(vm, _)| vm).collect();
        let candidates = self.settings.successors + SPARE_CANDIDATES;
        for slot in 0..self.settings.slots {
            let rank = SlotRank::new(slot, &self.vm, &near, candidates);
            self.ranks.insert(slot, rank);
        }
        self.live_centres = members.into_values().collect();
    }

    /// Starts handing this node's leases over to others, as it is about to stop.
    pub fn leave(&mut self) {
        for allocator in self.allocators.values_mut() {
            allocator.leave();
        }
    }

    /// Records that the stream of rate records has been read up to its end.
    pub fn log_caught_up(&mut self, now: ClockTime) {
        self.caught_up_at.get_or_insert(now);
        if std::mem::take(&mut self.is_returning) {
            for fold in self.folds.values_mut() {
                fold.finish_return();
            }
            for fold in self.folds.values() {
                self.holder
                    .set_allocating_centres(fold.allocating_centres());
            }
            for slot in 0..self.settings.slots {
                self.set_allocators(now, slot);
            }
        }
    }

    /// Starts again from the first record of the stream, as the log has come back without its last
    /// ones.
    ///
    /// An allocator carries on for a short time, within which it writes its lease again; nobody else
    /// takes a lease until no grant from before can be valid.
    pub fn go_back(&mut self, now: ClockTime) {
        self.next_offset = 0;
        self.caught_up_at = None;
        self.returned_at = Some(now);
        self.is_returning = true;
        for (slot, fold) in &mut self.folds {
            if let Some(allocator) = self.allocators.get_mut(slot) {
                allocator.before_record(now, fold, &self.settings);
                allocator.go_back(now, fold, &self.settings);
            }
            fold.go_back();
        }
        self.tables_tried.clear();
        self.snapshots_tried.clear();
    }

    /// Drops the state of all slots, as unread records before the offset `first` have expired.
    ///
    /// Until a snapshot replaces them, this node neither allocates nor knows any allocator.
    pub fn lose_before(&mut self, first: u64) {
        self.next_offset = first;
        self.caught_up_at = None;
        for fold in self.folds.values_mut() {
            fold.lose_before(first);
        }
        self.holder.forget_allocators();
    }

    /// Returns whether records are missing that no snapshot has replaced.
    #[must_use]
    pub fn is_missing_records(&self) -> bool {
        self.folds.values().any(LeaseFold::is_missing_records)
    }

    /// Returns the state of all slots, or `None` while some miss records.
    #[must_use]
    pub fn snapshot(&self) -> Option<RateSnapshot> {
        let covers = self.next_offset;
        let slots = self.folds.iter();
        (!self.is_missing_records()).then(|| RateSnapshot {
            covers,
            slots: slots
                .map(|(slot, fold)| fold.snapshot(*slot, covers))
                .collect(),
        })
    }

    /// Applies the snapshot of another node, in place of records that this one can't read.
    pub fn apply_snapshot(&mut self, now: ClockTime, snapshot: &RateSnapshot) {
        if snapshot.covers > self.next_offset {
            self.lose_before(snapshot.covers);
        }
        for slot in &snapshot.slots {
            self.fold_in(now, snapshot.covers, &RateRecord::Snapshot(slot.clone()));
        }
    }

    /// Applies a record of the stream. Records must come in order of offset, starting from the first
    /// one or from the one passed to [`TeamLimiter::lose_before`].
    pub fn receive_record(&mut self, now: ClockTime, offset: u64, record: &RateRecord) {
        self.next_offset = offset + 1;
        self.fold_in(now, offset, record);
    }

    fn fold_in(&mut self, now: ClockTime, offset: u64, record: &RateRecord) {
        let slot = record.slot();
        let Some(fold) = self.folds.get_mut(&slot) else {
            return;
        };
        if let Some(allocator) = self.allocators.get_mut(&slot) {
            allocator.before_record(now, fold, &self.settings);
        }
        if !fold.apply(now, offset, record) {
            return;
        }
        if matches!(record, RateRecord::Reset(_)) {
            self.holder.forget_allocators_of(slot);
        }
        if let Some(allocator) = self.allocators.get_mut(&slot) {
            allocator.observe(now, fold, &self.settings);
        }
        // While earlier records are read again, the allocators known before stay.
        if self.is_returning {
            return;
        }
        if !matches!(record, RateRecord::Lease(_)) {
            self.holder
                .set_allocating_centres(fold.allocating_centres());
        }
        self.set_allocators(now, slot);
    }

    /// Sets the allocators of a slot to the holders of its leases.
    fn set_allocators(&mut self, now: ClockTime, slot: u16) {
        let Some(fold) = self.folds.get(&slot) else {
            return;
        };
        for centre in fold.leases().keys() {
            let pool = (slot, centre.clone());
            self.holder.set_allocator(now, pool, fold.holder(centre));
        }
    }

    /// Drops the tables from before the log came back, once no grant under them can be valid.
    fn end_return(&mut self, now: ClockTime) {
        let wait_ms = self.settings.return_wait_ms();
        if self
            .returned_at
            .take_if(|time| now.since_ms(*time) >= wait_ms)
            .is_some()
        {
            for fold in self.folds.values_mut() {
                fold.drop_carried_tables();
            }
        }
    }

    /// Performs what is due at `now`.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<RateAction>) {
        self.polled_at = now;
        let mut emitted = Vec::new();
        if now >= self.control_at {
            self.control_at = now.plus_ms(CONTROL_PERIOD_MS);
            self.end_return(now);
            self.poll_allocators(now, &mut emitted);
            self.propose_tables(now, &mut emitted);
            self.vacate_leases(now, &mut emitted);
            self.append_snapshots(now, &mut emitted);
        }
        self.holder.poll(now, &self.settings, &mut emitted);
        self.dispatch(now, emitted, actions);
    }

    /// Returns when [`TeamLimiter::poll`] is due.
    #[must_use]
    pub fn next_poll(&self) -> ClockTime {
        if self.holder.is_poll_due() {
            return self.polled_at;
        }
        if self.holder.is_busy() {
            return self.polled_at.plus_ms(BUSY_PERIOD_MS).min(self.control_at);
        }
        self.control_at
    }

    /// Handles a message from the node `from`.
    pub fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: RateMessage,
        actions: &mut Vec<RateAction>,
    ) {
        let mut emitted = Vec::new();
        self.handle(now, from, message, &mut emitted);
        if self.holder.is_poll_due() {
            self.holder.poll(now, &self.settings, &mut emitted);
        }
        self.dispatch(now, emitted, actions);
    }

    /// Returns whether every slot that has teams has an allocator in this data centre.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.teams.keys().all(|slot| {
            let fold = self.folds.get(slot);
            fold.is_some_and(|fold| fold.table().is_some() && fold.is_held(&self.centre))
        })
    }

    /// Returns the number of slots that this node allocates at `now`.
    #[must_use]
    pub fn allocated_slots(&self, now: ClockTime) -> usize {
        let held = self.allocators.iter().filter(|(slot, allocator)| {
            let fold = self.folds.get(slot);
            fold.is_some_and(|fold| allocator.may_grant(now, fold))
        });
        held.count()
    }

    /// Returns the number of grants by this node that may still be spent.
    #[must_use]
    pub fn open_grants(&self) -> usize {
        self.allocators
            .values()
            .map(RateAllocator::open_grants)
            .sum()
    }

    /// Handles messages from this node to itself at once and returns the other actions.
    fn dispatch(
        &mut self,
        now: ClockTime,
        mut emitted: Vec<RateAction>,
        actions: &mut Vec<RateAction>,
    ) {
        let vm = self.vm.clone();
        while let Some(action) = emitted.pop() {
            match action {
                RateAction::Send(to, message) if to == vm => {
                    self.handle(now, &vm, message, &mut emitted);
                }
                action => actions.push(action),
            }
        }
    }

    fn handle(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: RateMessage,
        emitted: &mut Vec<RateAction>,
    ) {
        let settings = &self.settings;
        match message {
            RateMessage::Request {
                slot,
                seq,
                life_ms,
                demands,
            } => {
                if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.note_message_from(now, from);
                    let answer =
                        allocator.grant(now, from, (seq, life_ms), &demands, fold, settings);
                    emitted.extend(answer.map(|answer| RateAction::Send(from.clone(), answer)));
                }
            }
            RateMessage::Close {
                slot,
                closes,
                abandoned,
            } => {
                if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.close(now, from, &closes, &abandoned, fold, settings);
                }
            }
            RateMessage::RequestPromise { slot, seq } => {
                if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.promise(now, from.clone(), seq, fold, settings, emitted);
                }
            }
            RateMessage::Promise { slot, seq, by } => {
                if let Some((allocator, _)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.note_message_from(now, from);
                    allocator.receive_promise(by, seq, settings);
                }
            }
            RateMessage::Grant {
                seq,
                life_ms,
                grants,
                ..
            } => self
                .holder
                .receive(now, from, seq, life_ms, grants, settings),
        }
    }

    fn poll_allocators(&mut self, now: ClockTime, emitted: &mut Vec<RateAction>) {
        if self.caught_up_at.is_none() {
            return;
        }
        for slot in 0..self.settings.slots {
            let rank = self.ranks.get(&slot);
            let standby = SlotStandby {
                candidates: rank.map_or(&[][..], |rank| &rank.successors),
                rank: rank.and_then(|rank| rank.own),
                claim_at: self.claim_at(slot),
            };
            if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                allocator.poll(now, fold, standby, &self.settings, emitted);
            }
        }
    }

    /// Returns when this node may claim a vacant lease, delayed by its rank.
    fn claim_at(&self, slot: u16) -> Option<ClockTime> {
        let rank = self.ranks.get(&slot)?.own?;
        let settled_at = self.settled_at(slot)?;
        Some(settled_at.plus_ms(RANK_STAGGER_MS * rank))
    }

    /// Returns when the stream has been read to its end and no lease from before a reset can be valid
    /// any more.
    fn settled_at(&self, slot: u16) -> Option<ClockTime> {
        let settings = &self.settings;
        let life_ms =
            settings.longer_ms(settings.abandon_ms) + settings.longer_ms(settings.grant_ms);
        let reset_at = self.folds.get(&slot)?.reset_at();
        let free_at = reset_at.map_or(ClockTime::ZERO, |time| time.plus_ms(life_ms));
        let blocked_until = self.allocators.get(&slot)?.blocked_until();
        Some(self.caught_up_at?.max(free_at).max(blocked_until))
    }
}

/// Returns the allocator of a slot and the slot's state from the log.
fn pool<'a>(
    allocators: &'a mut BTreeMap<u16, RateAllocator>,
    folds: &'a BTreeMap<u16, LeaseFold>,
    slot: u16,
) -> Option<(&'a mut RateAllocator, &'a LeaseFold)> {
    Some((allocators.get_mut(&slot)?, folds.get(&slot)?))
}
