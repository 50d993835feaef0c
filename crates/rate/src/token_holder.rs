use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::rate_message::GrantClose;
use crate::team_share::slot_of;
use crate::{RateAction, RateDecision, RateMessage, RateSettings, TeamGrant, TeamWant};

/// A slot in a data centre.
pub(crate) type PoolKey = (u16, CentreName);

/// Tokens of one grant that are left.
#[derive(Clone, Debug)]
struct HeldGrant {
    from: VmName,
    seq: u64,
    left: u32,
    lapses_at: ClockTime,
    got_at: ClockTime,
}

/// What a node knows of one team.
#[derive(Clone, Debug, Default)]
struct TeamUse {
    grants: VecDeque<HeldGrant>,
    waiting: VecDeque<ClockTime>,
    used_now: u32,
    used_before: u32,
    period_at: ClockTime,
    used_at: ClockTime,
    dry_until: BTreeMap<CentreName, ClockTime>,
}

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
    asks: BTreeMap<u64, PendingAsk>,
    closes: BTreeMap<(VmName, u16), PendingClose>,
    slow_pools: BTreeMap<PoolKey, ClockTime>,
    allocators: BTreeMap<PoolKey, VmName>,
    seq: u64,
    is_dirty: bool,
}

impl TokenHolder {
    pub(crate) const fn new(centre: CentreName) -> Self {
        Self {
            centre,
            teams: BTreeMap::new(),
            asks: BTreeMap::new(),
            closes: BTreeMap::new(),
            slow_pools: BTreeMap::new(),
            allocators: BTreeMap::new(),
            seq: 0,
            is_dirty: false,
        }
    }

    /// Replaces the teams; tokens of teams that are gone are dropped.
    pub(crate) fn set_teams(&mut self, teams: &[TeamName]) {
        self.teams.retain(|team, _| teams.contains(team));
        for team in teams {
            self.teams.entry(team.clone()).or_default();
        }
    }

    /// Notes who allocates in a pool.
    pub(crate) fn set_allocator(&mut self, pool: PoolKey, vm: Option<&VmName>) {
        match vm {
            Some(vm) => self.allocators.insert(pool, vm.clone()),
            None => self.allocators.remove(&pool),
        };
    }

    /// Tells whether something waits to be sent.
    pub(crate) const fn is_dirty(&self) -> bool {
        self.is_dirty
    }

    /// Tells whether tokens or asks are outstanding.
    pub(crate) fn is_busy(&self) -> bool {
        !self.asks.is_empty() || self.teams.values().any(|using| !using.grants.is_empty())
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
        }
        using.used_at = now;
        if let Some(spent) = using.spend(now) {
            if !is_first {
                using.waiting.pop_front();
            }
            if spent.left == 0 {
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
        let pools: Vec<_> = self.pools(slot).map(|(centre, _)| centre.clone()).collect();
        let Some(using) = self.teams.get_mut(team) else {
            return RateDecision::Refuse { retry_after_ms: 0 };
        };
        let is_open = pools.iter().any(|centre| !using.is_dry(now, centre));
        if !is_asked && !is_open {
            if !is_first {
                using.waiting.pop_front();
            }
            return RateDecision::Refuse {
                retry_after_ms: using.next_ms(now).unwrap_or(settings.lease_ms),
            };
        }
        if is_first {
            using.waiting.push_back(now);
        }
        self.is_dirty |= is_first || !is_asked;
        RateDecision::Ask {
            wait_ms: settings.wait_ms,
        }
    }

    fn is_asked(&self, team: &TeamName) -> bool {
        self.asks
            .values()
            .any(|ask| ask.wants.iter().any(|want| want.team == *team))
    }

    fn pools(&self, slot: u16) -> impl Iterator<Item = (&CentreName, &VmName)> {
        let pools = self
            .allocators
            .iter()
            .filter(move |(pool, _)| pool.0 == slot);
        pools.map(|(pool, vm)| (&pool.1, vm))
    }

    /// Sends asks, gives idle tokens back and gives up asks without answer.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        self.is_dirty = false;
        self.give_up_asks(now, settings);
        self.return_idle(now, settings);
        self.send_closes(actions);
        self.send_asks(now, settings, actions);
    }

    fn give_up_asks(&mut self, now: ClockTime, settings: &RateSettings) {
        let mut given_up = Vec::new();
        for (seq, ask) in &mut self.asks {
            let age_ms = now.since_ms(ask.asked_at);
            if age_ms >= settings.hedge_ms && !ask.is_hedged {
                ask.is_hedged = true;
                self.slow_pools.insert(ask.pool.clone(), now);
            }
            if age_ms >= settings.ask_timeout_ms {
                given_up.push(*seq);
            }
        }
        for seq in given_up {
            if let Some(ask) = self.asks.remove(&seq) {
                let closing = self.closes.entry((ask.to, ask.pool.0)).or_default();
                closing.abandoned.push(seq);
            }
        }
    }

    fn return_idle(&mut self, now: ClockTime, settings: &RateSettings) {
        for (team, using) in &mut self.teams {
            let slot = slot_of(team, settings.slots);
            using.turn_period(now, settings.ahead_ms);
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
                let is_ending = now.until_ms(grant.lapses_at) < settings.idle_ms;
                if is_surplus || is_ending {
                    let closing = self.closes.entry((grant.from.clone(), slot)).or_default();
                    closing.closes.push(close(grant.seq, team, grant.left));
                }
                !(is_surplus || is_ending)
            });
        }
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
        let teams: Vec<TeamName> = self.teams.keys().cloned().collect();
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
            self.seq += 1;
            let message = RateMessage::Ask {
                slot: pool.0,
                seq: self.seq,
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

    /// Returns how many tokens of a team to ask for and where.
    fn needs(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<(CentreName, u32)> {
        let Some(using) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        using.drop_waiting(now, settings.wait_ms);
        let held = using.held(now);
        let waiting = u32::try_from(using.waiting.len()).unwrap_or(u32::MAX);
        let ahead = if held * 2 < using.used_before {
            using.used_before
        } else {
            0
        };
        let need = waiting
            .max(ahead)
            .saturating_sub(held + self.asked_tokens(team));
        if need == 0 {
            return Vec::new();
        }
        let centres = self.places(now, team, slot, settings);
        centres.into_iter().map(|centre| (centre, need)).collect()
    }

    /// Counts the tokens of a team asked for and likely to be answered.
    fn asked_tokens(&self, team: &TeamName) -> u32 {
        let prompt = self.asks.values().filter(|ask| !ask.is_hedged);
        let wants = prompt
            .flat_map(|ask| &ask.wants)
            .filter(|want| want.team == *team);
        wants.map(|want| want.tokens).sum()
    }

    /// Returns the data centres to ask: the own one, or all others when it is dry or slow.
    fn places(
        &self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        settings: &RateSettings,
    ) -> Vec<CentreName> {
        let Some(using) = self.teams.get(team) else {
            return Vec::new();
        };
        let is_free =
            |centre: &&CentreName| !using.is_dry(now, centre) && !self.is_out(team, slot, centre);
        let open: Vec<&CentreName> = self
            .pools(slot)
            .map(|(centre, _)| centre)
            .filter(is_free)
            .collect();
        let is_slow = self.is_slow(now, slot, settings);
        if !is_slow && open.contains(&&self.centre) {
            return vec![self.centre.clone()];
        }
        open.into_iter().cloned().collect()
    }

    /// Tells whether an ask for a team to a pool is without answer.
    fn is_out(&self, team: &TeamName, slot: u16, centre: &CentreName) -> bool {
        self.asks.values().any(|ask| {
            ask.pool.0 == slot
                && ask.pool.1 == *centre
                && ask.wants.iter().any(|want| want.team == *team)
        })
    }

    /// Tells whether the own data centre's allocator was slow lately.
    fn is_slow(&self, now: ClockTime, slot: u16, settings: &RateSettings) -> bool {
        let slow_at = self.slow_pools.get(&(slot, self.centre.clone()));
        slow_at.is_some_and(|time| now.since_ms(*time) < settings.lease_ms)
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
                using.grants.push_back(HeldGrant {
                    from: from.clone(),
                    seq,
                    left: grant.tokens,
                    lapses_at,
                    got_at: now,
                });
            }
        }
    }
}

impl TeamUse {
    /// Counts the requests of the period before, for which tokens are held ahead.
    fn turn_period(&mut self, now: ClockTime, period_ms: u64) {
        let age_ms = now.since_ms(self.period_at);
        if age_ms >= period_ms {
            self.used_before = if age_ms < 2 * period_ms {
                self.used_now
            } else {
                0
            };
            self.used_now = 0;
            self.period_at = now;
        }
    }

    /// Spends a token of a grant that is still alive at `now`.
    fn spend(&mut self, now: ClockTime) -> Option<HeldGrant> {
        self.grants.retain(|grant| now < grant.lapses_at);
        let first = self.grants.front_mut()?;
        first.left -= 1;
        let spent = first.clone();
        if spent.left == 0 {
            self.grants.pop_front();
        }
        Some(spent)
    }

    /// Counts the tokens held.
    fn held(&self, now: ClockTime) -> u32 {
        let alive = self.grants.iter().filter(|grant| now < grant.lapses_at);
        alive.map(|grant| grant.left).sum()
    }

    fn is_dry(&self, now: ClockTime, centre: &CentreName) -> bool {
        self.dry_until.get(centre).is_some_and(|until| now < *until)
    }

    fn next_ms(&self, now: ClockTime) -> Option<u64> {
        self.dry_until
            .values()
            .map(|until| now.until_ms(*until))
            .min()
    }

    /// Forgets requests that have waited for longer than they may.
    fn drop_waiting(&mut self, now: ClockTime, wait_ms: u64) {
        let is_over = |since: &ClockTime| now.since_ms(*since) > wait_ms;
        while self.waiting.front().is_some_and(is_over) {
            self.waiting.pop_front();
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
