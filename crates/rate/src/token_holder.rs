mod ask_plan;

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::rate_message::GrantClose;
use crate::team_share::slot_of;
use crate::team_use::{HeldGrant, TeamUse};
use crate::{RateAction, RateDecision, RateMessage, RateSettings, TeamGrant, TeamWant};

/// The time before the end of a grant at which its tokens go back, in milliseconds.
const RETURN_MARGIN_MS: u64 = 15;

/// The part of a short grant's life that its way here may take at most, as a divisor.
const QUICK_SHARE: u64 = 4;
/// The time after the loss of an allocator in which requests wait for tokens to come in, in
/// milliseconds.
const RECOVERY_MS: u64 = 5_000;

/// A slot in a data centre.
pub(crate) type PoolKey = (u16, CentreName);

/// An ask without an answer yet.
#[derive(Clone, Debug)]
struct PendingAsk {
    pool: PoolKey,
    to: VmName,
    asked_at: ClockTime,
    wants: Vec<TeamWant>,
    is_hedged: bool,
}

/// Tokens to give back to one allocator.
#[derive(Clone, Debug, Default)]
struct PendingClose {
    closes: Vec<GrantClose>,
    abandoned: Vec<u64>,
}

/// Admits requests of this node against grants of tokens.
#[derive(Clone, Debug)]
pub(crate) struct TokenHolder {
    centre: CentreName,
    teams: BTreeMap<TeamName, TeamUse>,
    active: BTreeSet<TeamName>,
    asks: BTreeMap<u64, PendingAsk>,
    closes: BTreeMap<(VmName, u16), PendingClose>,
    slow_pools: BTreeMap<PoolKey, ClockTime>,
    lost_at: BTreeMap<u16, ClockTime>,
    allocators: BTreeMap<PoolKey, VmName>,
    seq: u64,
    is_dirty: bool,
    has_news: bool,
    /// Whether the newest answer came well within the life of a short grant.
    is_quick: bool,
}

impl TokenHolder {
    pub(crate) const fn new(centre: CentreName) -> Self {
        Self {
            centre,
            teams: BTreeMap::new(),
            active: BTreeSet::new(),
            asks: BTreeMap::new(),
            closes: BTreeMap::new(),
            slow_pools: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            allocators: BTreeMap::new(),
            seq: 0,
            is_dirty: false,
            has_news: false,
            is_quick: false,
        }
    }

    /// Replaces the teams; tokens of teams that are gone are dropped.
    pub(crate) fn set_teams(&mut self, teams: &[TeamName]) {
        let names: BTreeSet<&TeamName> = teams.iter().collect();
        self.teams.retain(|team, _| names.contains(team));
        self.active.retain(|team| names.contains(team));
        for team in teams {
            self.teams.entry(team.clone()).or_default();
        }
    }

    /// Takes in the data centres that hold each team's tokens.
    pub(crate) fn set_homes(&mut self, homes: BTreeMap<TeamName, Vec<CentreName>>) {
        for (team, homes) in homes {
            let using = self.teams.get_mut(&team);
            if let Some(using) = using.filter(|using| using.homes != homes) {
                using.homes = homes;
                using.dry_until.clear();
            }
        }
    }

    /// Notes who allocates in a pool, and asks the new allocator for what the last one owes.
    pub(crate) fn set_allocator(&mut self, now: ClockTime, pool: PoolKey, vm: Option<&VmName>) {
        if self.allocators.get(&pool) == vm {
            return;
        }
        self.lost_at.insert(pool.0, now);
        self.give_up_asks(|ask| ask.pool == pool);
        self.slow_pools.remove(&pool);
        for using in self.teams.values_mut() {
            using.dry_until.remove(&pool.1);
        }
        match vm {
            Some(vm) => self.allocators.insert(pool, vm.clone()),
            None => self.allocators.remove(&pool),
        };
        self.is_dirty |= !self.active.is_empty();
    }

    /// Forgets who allocates.
    pub(crate) fn forget_allocators(&mut self) {
        self.allocators.clear();
    }

    /// Forgets who allocates in a slot.
    pub(crate) fn forget_allocators_of(&mut self, slot: u16) {
        self.allocators.retain(|pool, _| pool.0 != slot);
    }

    /// Tells whether something waits to be sent.
    pub(crate) const fn is_dirty(&self) -> bool {
        self.is_dirty
    }

    /// Tells whether tokens or asks are outstanding.
    pub(crate) fn is_busy(&self) -> bool {
        !self.asks.is_empty() || !self.active.is_empty()
    }

    /// Decides on a request; `is_first` is false when it has asked before.
    pub(crate) fn admit(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        is_first: bool,
        settings: &RateSettings,
    ) -> RateDecision {
        let slot = slot_of(team, settings.slots);
        let Some(using) = self.teams.get_mut(team) else {
            return RateDecision::Refuse {
                retry_after_ms: settings.lease_ms,
            };
        };
        using.turn_period(now, settings.ahead_ms);
        if is_first {
            using.used_now += 1;
            self.active.insert(team.clone());
        }
        using.used_at = now;
        if let Some(spent) = using.spend(now) {
            if !is_first {
                using.waiting.pop_front();
            }
            if spent.left == 0 && spent.life_ms > settings.short_grant_ms {
                let closing = self.closes.entry((spent.from, slot)).or_default();
                closing.closes.push(close(spent.seq, team, 0));
            }
            return RateDecision::Admit;
        }
        self.ask_or_refuse(now, team, slot, is_first, settings)
    }

    fn ask_or_refuse(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        is_first: bool,
        settings: &RateSettings,
    ) -> RateDecision {
        let is_asked = self.is_asked(team);
        let is_open = is_asked || self.is_open(now, team, slot);
        let is_recovering = self.is_recovering(now, slot);
        let Some(using) = self.teams.get_mut(team) else {
            return RateDecision::Refuse { retry_after_ms: 0 };
        };
        let next_ms = using.next_ms(now);
        let is_soon = next_ms.is_some_and(|next_ms| next_ms <= settings.wait_ms);
        let may_wait = is_soon && (!is_first || using.waiting.is_empty());
        if !is_open && !is_recovering && !may_wait {
            if !is_first {
                using.waiting.pop_front();
            }
            return RateDecision::Refuse {
                retry_after_ms: next_ms.unwrap_or(settings.lease_ms),
            };
        }
        if is_first && using.waiting.len() >= settings.waiting_most {
            return RateDecision::Refuse {
                retry_after_ms: settings.wait_ms,
            };
        }
        if is_first {
            using.waiting.push_back(now);
        }
        self.is_dirty |= !is_asked;
        RateDecision::Ask {
            wait_ms: settings.wait_ms,
        }
    }

    /// Tells whether some allocator may have tokens of a team, or none is known yet.
    fn is_open(&self, now: ClockTime, team: &TeamName, slot: u16) -> bool {
        let Some(using) = self.teams.get(team) else {
            return false;
        };
        let pools = self.pools(slot);
        let mut pools = pools.filter(|(centre, _)| using.is_home(centre)).peekable();
        pools.peek().is_none() || pools.any(|(centre, _)| !using.is_dry(now, centre))
    }

    /// Tells whether an allocator of a slot was silent or replaced lately.
    ///
    /// Requests then wait for tokens to come in again, as the new one begins with few.
    fn is_recovering(&self, now: ClockTime, slot: u16) -> bool {
        let lost_at = self.lost_at.get(&slot);
        lost_at.is_some_and(|time| now.since_ms(*time) < RECOVERY_MS)
    }

    /// Takes note that a request which was told to ask waits no longer.
    pub(crate) fn stop_waiting(&mut self, team: &TeamName) {
        if let Some(using) = self.teams.get_mut(team) {
            using.waiting.pop_front();
        }
    }

    /// Tells whether requests that wait may have got an answer since the last call.
    pub(crate) fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    fn is_asked(&self, team: &TeamName) -> bool {
        self.asks
            .values()
            .any(|ask| ask.wants.iter().any(|want| want.team == *team))
    }

    fn pools(&self, slot: u16) -> impl Iterator<Item = (&CentreName, &VmName)> {
        let first = (slot, CentreName::new(""));
        let pools = self.allocators.range(first..);
        pools
            .take_while(move |(pool, _)| pool.0 == slot)
            .map(|(pool, vm)| (&pool.1, vm))
    }

    /// Sends asks, gives idle tokens back and gives up asks without answer.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        self.is_dirty = false;
        self.note_slow_asks(now, settings);
        let is_over = |ask: &PendingAsk| now.since_ms(ask.asked_at) >= settings.ask_timeout_ms;
        let lost = self.asks.values().filter(|ask| is_over(ask));
        self.lost_at.extend(lost.map(|ask| (ask.pool.0, now)));
        self.give_up_asks(is_over);
        self.return_idle(now, settings);
        self.send_closes(actions);
        self.send_asks(now, settings, actions);
    }

    fn note_slow_asks(&mut self, now: ClockTime, settings: &RateSettings) {
        for ask in self.asks.values_mut() {
            if now.since_ms(ask.asked_at) >= settings.hedge_ms && !ask.is_hedged {
                ask.is_hedged = true;
                self.slow_pools.insert(ask.pool.clone(), now);
            }
        }
    }

    /// Gives up asks, whose answers are not used any more should they still come.
    fn give_up_asks(&mut self, is_over: impl Fn(&PendingAsk) -> bool) {
        let over = self.asks.extract_if(.., |_, ask| is_over(ask));
        for (seq, ask) in over {
            let closing = self.closes.entry((ask.to, ask.pool.0)).or_default();
            closing.abandoned.push(seq);
        }
    }

    fn return_idle(&mut self, now: ClockTime, settings: &RateSettings) {
        self.active.retain(|team| {
            let Some(using) = self.teams.get_mut(team) else {
                return false;
            };
            let slot = slot_of(team, settings.slots);
            using.turn_period(now, settings.ahead_ms);
            using.drop_waiting(now, settings.wait_ms);
            using.grants.retain(|grant| now < grant.lapses_at);
            let is_idle = now.since_ms(using.used_at) >= settings.idle_ms;
            let keep = u64::from(if is_idle {
                0
            } else {
                2 * using.used_before.max(using.used_now)
            });
            let mut kept = 0;
            using.grants.retain(|grant| {
                kept += u64::from(grant.left);
                let is_surplus = kept > keep && now.since_ms(grant.got_at) >= settings.idle_ms;
                let is_ending = now.until_ms(grant.lapses_at) < RETURN_MARGIN_MS;
                if is_surplus || is_ending {
                    let closing = self.closes.entry((grant.from.clone(), slot)).or_default();
                    closing.closes.push(close(grant.seq, team, grant.left));
                }
                !(is_surplus || is_ending)
            });
            !using.is_quiet()
        });
    }

    fn send_closes(&mut self, actions: &mut Vec<RateAction>) {
        for ((vm, slot), pending) in std::mem::take(&mut self.closes) {
            let message = RateMessage::Close {
                slot,
                closes: pending.closes,
                abandoned: pending.abandoned,
            };
            actions.push(RateAction::Send(vm, message));
        }
    }

    fn send_asks(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let mut wants: BTreeMap<PoolKey, Vec<TeamWant>> = BTreeMap::new();
        let teams: Vec<TeamName> = self.active.iter().cloned().collect();
        for team in teams {
            let slot = slot_of(&team, settings.slots);
            for (centre, tokens) in self.needs(now, &team, slot, settings) {
                let team = team.clone();
                wants
                    .entry((slot, centre))
                    .or_default()
                    .push(TeamWant { team, tokens });
            }
        }
        for (pool, wants) in wants {
            let Some(to) = self.allocators.get(&pool).cloned() else {
                continue;
            };
            let life_ms = self.life_ms(&pool, &wants, settings);
            self.seq += 1;
            let message = RateMessage::Ask {
                slot: pool.0,
                seq: self.seq,
                life_ms,
                wants: wants.clone(),
            };
            actions.push(RateAction::Send(to.clone(), message));
            let ask = PendingAsk {
                pool,
                to,
                asked_at: now,
                wants,
                is_hedged: false,
            };
            self.asks.insert(self.seq, ask);
        }
    }

    /// Takes a grant in; its life counts from when it was asked for.
    pub(crate) fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        seq: u64,
        life_ms: u64,
        grants: Vec<TeamGrant>,
        settings: &RateSettings,
    ) {
        let is_expected = self.asks.get(&seq).is_some_and(|ask| ask.to == *from);
        let Some(ask) = self.asks.remove(&seq).filter(|_| is_expected) else {
            return;
        };
        self.slow_pools.remove(&ask.pool);
        self.has_news = true;
        let age_ms = now.since_ms(ask.asked_at);
        self.is_quick = age_ms * QUICK_SHARE <= settings.short_grant_ms;
        let lapses_at = ask.asked_at.plus_ms(settings.shorter_ms(life_ms));
        for grant in grants {
            let want = ask.wants.iter().find(|want| want.team == grant.team);
            let wanted = want.map_or(0, |want| want.tokens);
            let Some(using) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            if grant.tokens < wanted {
                let dry_ms = u64::from(grant.next_ms).clamp(settings.dry_ms, settings.most_dry_ms);
                using
                    .dry_until
                    .insert(ask.pool.1.clone(), now.plus_ms(dry_ms));
                self.is_dirty = true;
            }
            if grant.tokens > 0 && now < lapses_at {
                self.active.insert(grant.team.clone());
                using.grants.push_back(HeldGrant {
                    from: from.clone(),
                    seq,
                    left: grant.tokens,
                    life_ms,
                    lapses_at,
                    got_at: now,
                });
            }
            self.is_dirty |= using.waiting.len() > using.held(now) as usize;
        }
    }
}

fn close(seq: u64, team: &TeamName, returned: u32) -> GrantClose {
    GrantClose {
        seq,
        team: team.clone(),
        returned,
    }
}
