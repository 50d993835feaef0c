mod slot_records;

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::lease_fold::LeaseFold;
use crate::rate_allocator::RateAllocator;
use crate::slot_rank::SlotRank;
use crate::slot_standing::SlotStanding;
use crate::team_share::slot_of;
use crate::token_holder::TokenHolder;
use crate::{
    RateAction, RateDecision, RateMessage, RateRecord, RateSettings, RateSnapshot, TeamEntry,
    TeamRate,
};

/// The time between two looks at leases and tables, in milliseconds.
const CONTROL_PERIOD_MS: u64 = 100;
/// The time between two looks at outstanding asks and tokens, in milliseconds.
const BUSY_PERIOD_MS: u64 = 4;
/// The head start of a node over the next in rank when a lease is vacant, in milliseconds.
const RANK_STEP_MS: u64 = 2_000;

/// The nodes known beside the successors, for when some of these are silent.
const SPARE_CANDIDATES: usize = 2;

/// Keeps the teams to their rates on one node.
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
        }
    }

    /// Decides on a new request of `team`.
    pub fn admit(&mut self, now: ClockTime, team: &TeamName) -> RateDecision {
        self.holder.admit(now, team, true, &self.settings)
    }

    /// Decides again on a request that was told to ask.
    pub fn admit_again(&mut self, now: ClockTime, team: &TeamName) -> RateDecision {
        self.holder.admit(now, team, false, &self.settings)
    }

    /// Takes note that a request which was told to ask is given up.
    pub fn give_up(&mut self, team: &TeamName) {
        self.holder.stop_waiting(team);
    }

    /// Tells whether requests that were told to ask may get a decision now.
    pub fn take_news(&mut self) -> bool {
        self.holder.take_news()
    }

    /// Takes in the rates of all teams; an older version than the present one is ignored.
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
            self.holder.set_homes(fold.homes());
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

    /// Hands the leases of this node over to others, as it is about to stop.
    pub fn leave(&mut self) {
        for allocator in self.allocators.values_mut() {
            allocator.leave();
        }
    }

    /// Notes that the stream of rate records has been read up to its end.
    pub fn log_caught_up(&mut self, now: ClockTime) {
        self.caught_up_at.get_or_insert(now);
    }

    /// Learns that the records before the offset `first` are gone from the stream unread.
    ///
    /// Until a snapshot makes up for them this node neither allocates nor knows allocators.
    pub fn lose_before(&mut self, first: u64) {
        self.next_offset = first;
        self.caught_up_at = None;
        for fold in self.folds.values_mut() {
            fold.lose_before(first);
        }
        self.holder.forget_allocators();
    }

    /// Tells whether records are missing that no snapshot has made up for.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.folds.values().any(LeaseFold::is_late)
    }

    /// Returns the state of all slots, or `None` while some lack records.
    #[must_use]
    pub fn snapshot(&self) -> Option<RateSnapshot> {
        let covers = self.next_offset;
        let slots = self.folds.iter();
        (!self.is_late()).then(|| RateSnapshot {
            covers,
            slots: slots
                .map(|(slot, fold)| fold.snapshot(*slot, covers))
                .collect(),
        })
    }

    /// Takes in the state of another node, in place of records that this one lacks.
    pub fn adopt(&mut self, now: ClockTime, snapshot: &RateSnapshot) {
        if snapshot.covers > self.next_offset {
            self.lose_before(snapshot.covers);
        }
        for slot in &snapshot.slots {
            self.fold_in(now, snapshot.covers, &RateRecord::Snapshot(slot.clone()));
        }
    }

    /// Folds in a record of the stream; records come in order of offset, from the first one on or
    /// from the one that [`TeamLimiter::lose_before`] named.
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
        if !matches!(record, RateRecord::Lease(_)) {
            self.holder.set_homes(fold.homes());
        }
        for centre in fold.leases().keys() {
            let pool = (slot, centre.clone());
            self.holder.set_allocator(now, pool, fold.holder(centre));
        }
        if let Some(allocator) = self.allocators.get_mut(&slot) {
            allocator.observe(now, fold, &self.settings);
        }
    }

    /// Does what is due at `now`.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<RateAction>) {
        self.polled_at = now;
        let mut raised = Vec::new();
        if now >= self.control_at {
            self.control_at = now.plus_ms(CONTROL_PERIOD_MS);
            self.poll_allocators(now, &mut raised);
            self.propose_tables(now, &mut raised);
            self.vacate_leases(now, &mut raised);
            self.keep_snapshots(now, &mut raised);
        }
        self.holder.poll(now, &self.settings, &mut raised);
        self.dispatch(now, raised, actions);
    }

    /// Returns when [`TeamLimiter::poll`] is due.
    #[must_use]
    pub fn next_poll(&self) -> ClockTime {
        if self.holder.is_dirty() {
            return self.polled_at;
        }
        if self.holder.is_busy() {
            return self.polled_at.plus_ms(BUSY_PERIOD_MS).min(self.control_at);
        }
        self.control_at
    }

    /// Takes in a message from the node `from`.
    pub fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        message: RateMessage,
        actions: &mut Vec<RateAction>,
    ) {
        let mut raised = Vec::new();
        self.handle(now, from, message, &mut raised);
        if self.holder.is_dirty() {
            self.holder.poll(now, &self.settings, &mut raised);
        }
        self.dispatch(now, raised, actions);
    }

    /// Returns whether every team's tokens have an allocator in this data centre.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.teams.keys().all(|slot| {
            let fold = self.folds.get(slot);
            fold.is_some_and(|fold| fold.table().is_some() && fold.is_held(&self.centre))
        })
    }

    /// Counts the slots that this node allocates at `now`.
    #[must_use]
    pub fn allocated_slots(&self, now: ClockTime) -> usize {
        let held = self.allocators.iter().filter(|(slot, allocator)| {
            let fold = self.folds.get(slot);
            fold.is_some_and(|fold| allocator.may_grant(now, fold))
        });
        held.count()
    }

    /// Counts the grants of this node's allocators that may still be spent.
    #[must_use]
    pub fn open_grants(&self) -> usize {
        self.allocators
            .values()
            .map(RateAllocator::open_grants)
            .sum()
    }

    /// Hands messages from this node to itself over at once and passes on the rest.
    fn dispatch(
        &mut self,
        now: ClockTime,
        mut raised: Vec<RateAction>,
        actions: &mut Vec<RateAction>,
    ) {
        let vm = self.vm.clone();
        while let Some(action) = raised.pop() {
            match action {
                RateAction::Send(to, message) if to == vm => {
                    self.handle(now, &vm, message, &mut raised);
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
        raised: &mut Vec<RateAction>,
    ) {
        let settings = &self.settings;
        match message {
            RateMessage::Ask {
                slot,
                seq,
                life_ms,
                wants,
            } => {
                if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.hear_from(now, from);
                    let answer = allocator.grant(now, from, (seq, life_ms), &wants, fold, settings);
                    raised.extend(answer.map(|answer| RateAction::Send(from.clone(), answer)));
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
            RateMessage::AskPromise { slot, seq } => {
                if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.promise(now, from.clone(), seq, fold, settings, raised);
                }
            }
            RateMessage::Promise { slot, seq, by } => {
                if let Some((allocator, _)) = pool(&mut self.allocators, &self.folds, slot) {
                    allocator.hear_from(now, from);
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

    fn poll_allocators(&mut self, now: ClockTime, raised: &mut Vec<RateAction>) {
        if self.caught_up_at.is_none() {
            return;
        }
        for slot in 0..self.settings.slots {
            let rank = self.ranks.get(&slot);
            let standing = SlotStanding {
                candidates: rank.map_or(&[][..], |rank| &rank.successors),
                rank: rank.and_then(|rank| rank.own),
                begin_at: self.begin_at(slot),
            };
            if let Some((allocator, fold)) = pool(&mut self.allocators, &self.folds, slot) {
                allocator.poll(now, fold, standing, &self.settings, raised);
            }
        }
    }

    /// Returns when this node may begin a vacant lease, the first in rank before the others.
    fn begin_at(&self, slot: u16) -> Option<ClockTime> {
        let rank = self.ranks.get(&slot)?.own?;
        let settled_at = self.settled_at(slot)?;
        Some(settled_at.plus_ms(RANK_STEP_MS * rank))
    }

    /// Returns when the stream was read and no lease from before a reset can be alive any more.
    fn settled_at(&self, slot: u16) -> Option<ClockTime> {
        let settings = &self.settings;
        let life_ms =
            settings.longer_ms(settings.abandon_ms) + settings.longer_ms(settings.grant_ms);
        let reset_at = self.folds.get(&slot)?.reset_at();
        let free_at = reset_at.map_or(ClockTime::ZERO, |time| time.plus_ms(life_ms));
        Some(self.caught_up_at?.max(free_at))
    }
}

/// Returns the allocator of a slot with what the log says of it.
fn pool<'a>(
    allocators: &'a mut BTreeMap<u16, RateAllocator>,
    folds: &'a BTreeMap<u16, LeaseFold>,
    slot: u16,
) -> Option<(&'a mut RateAllocator, &'a LeaseFold)> {
    Some((allocators.get_mut(&slot)?, folds.get(&slot)?))
}
