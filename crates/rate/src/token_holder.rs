mod request_plan;

use std::collections::{BTreeMap, BTreeSet};

use clock::ClockTime;
use model::{CentreName, TeamName, VmName};

use crate::rate_message::GrantClose;
use crate::team_share::slot_of;
use crate::team_usage::{HeldGrant, TeamUsage};
use crate::{RateAction, RateDecision, RateMessage, RateSettings, TeamDemand, TeamGrant};

/// Unspent tokens are returned when their grant expires within this time, in milliseconds.
const RETURN_MARGIN_MS: u64 = 15;

/// Short grants are requested only if the last answer took at most the lifetime of a short grant
/// divided by this, since the lifetime counts from the request.
const QUICK_ANSWER_DIVISOR: u64 = 4;
/// The time after the loss or replacement of an allocator in which requests wait for tokens instead
/// of being refused, in milliseconds.
const RECOVERY_MS: u64 = 5_000;

/// Identifies a token pool: a slot in a data centre.
pub(crate) type PoolKey = (u16, CentreName);

/// A token request that hasn't been answered yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    pool: PoolKey,
    /// The allocator that the request was sent to.
    to: VmName,
    requested_at: ClockTime,
    demands: Vec<TeamDemand>,
    /// Whether the answer took too long, so tokens may be requested from other data centres too.
    is_hedged: bool,
}

/// The contents of the next [`RateMessage::Close`] to one allocator.
#[derive(Clone, Debug, Default)]
struct PendingClose {
    closes: Vec<GrantClose>,
    /// The sequence numbers of the abandoned token requests.
    abandoned: Vec<u64>,
}

/// Requests grants of tokens and admits this node's requests against them.
#[derive(Clone, Debug)]
pub(crate) struct TokenHolder {
    centre: CentreName,
    teams: BTreeMap<TeamName, TeamUsage>,
    /// The teams with grants, waiting requests or recent requests.
    active: BTreeSet<TeamName>,
    /// The pending token requests by sequence number.
    token_requests: BTreeMap<u64, PendingRequest>,
    closes: BTreeMap<(VmName, u16), PendingClose>,
    /// When a token request to each pool was last hedged; removed when the
    /// pool's allocator answers or changes.
    slow_pools: BTreeMap<PoolKey, ClockTime>,
    /// When an allocator of each slot last failed to answer in time or changed.
    allocator_lost_at: BTreeMap<u16, ClockTime>,
    /// The known allocator of each pool.
    allocators: BTreeMap<PoolKey, VmName>,
    /// The sequence number of the newest token request.
    seq: u64,
    is_poll_due: bool,
    /// Whether an answer has arrived since the last call of [`Self::take_wake_up`].
    has_answer: bool,
    /// Whether the newest answer arrived well within the lifetime of a short grant.
    is_answer_quick: bool,
}

impl TokenHolder {
    pub(crate) const fn new(centre: CentreName) -> Self {
        Self {
            centre,
            teams: BTreeMap::new(),
            active: BTreeSet::new(),
            token_requests: BTreeMap::new(),
            closes: BTreeMap::new(),
            slow_pools: BTreeMap::new(),
            allocator_lost_at: BTreeMap::new(),
            allocators: BTreeMap::new(),
            seq: 0,
            is_poll_due: false,
            has_answer: false,
            is_answer_quick: false,
        }
    }

    /// Replaces the teams and drops the tokens of removed teams.
    pub(crate) fn set_teams(&mut self, teams: &[TeamName]) {
        let names: BTreeSet<&TeamName> = teams.iter().collect();
        self.teams.retain(|team, _| names.contains(team));
        self.active.retain(|team| names.contains(team));
        for team in teams {
            self.teams.entry(team.clone()).or_default();
        }
    }

    /// Sets the data centres that allocate each team's tokens.
    pub(crate) fn set_allocating_centres(
        &mut self,
        allocating_centres: BTreeMap<TeamName, Vec<CentreName>>,
    ) {
        for (team, allocating_centres) in allocating_centres {
            let usage = self.teams.get_mut(&team);
            if let Some(usage) =
                usage.filter(|usage| usage.allocating_centres != allocating_centres)
            {
                usage.allocating_centres = allocating_centres;
                usage.exhausted_until.clear();
            }
        }
    }

    /// Sets the allocator of a pool. When it changes, token requests to the previous one are abandoned
    /// and the tokens are requested from the new one.
    pub(crate) fn set_allocator(&mut self, now: ClockTime, pool: PoolKey, vm: Option<&VmName>) {
        if self.allocators.get(&pool) == vm {
            return;
        }
        self.allocator_lost_at.insert(pool.0, now);
        self.abandon_requests(|request| request.pool == pool);
        self.slow_pools.remove(&pool);
        for usage in self.teams.values_mut() {
            usage.exhausted_until.remove(&pool.1);
        }
        match vm {
            Some(vm) => self.allocators.insert(pool, vm.clone()),
            None => self.allocators.remove(&pool),
        };
        self.is_poll_due |= !self.active.is_empty();
    }

    /// Drops the allocators of all pools.
    pub(crate) fn forget_allocators(&mut self) {
        self.allocators.clear();
    }

    /// Drops the allocators of a slot.
    pub(crate) fn forget_allocators_of(&mut self, slot: u16) {
        self.allocators.retain(|pool, _| pool.0 != slot);
    }

    /// Returns whether [`Self::poll`] should be called now, as there may be something to send.
    pub(crate) const fn is_poll_due(&self) -> bool {
        self.is_poll_due
    }

    /// Returns whether token requests are pending or teams have recent activity.
    pub(crate) fn is_busy(&self) -> bool {
        !self.token_requests.is_empty() || !self.active.is_empty()
    }

    /// Decides whether a request is admitted, refused or waits for tokens; `is_first` is false when it
    /// has waited since an earlier decision.
    pub(crate) fn admit(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        is_first: bool,
        settings: &RateSettings,
    ) -> RateDecision {
        let slot = slot_of(team, settings.slots);
        let Some(usage) = self.teams.get_mut(team) else {
            return RateDecision::Refuse {
                retry_after_ms: settings.lease_ms,
            };
        };
        usage.start_due_period(now, settings.prefetch_period_ms);
        if is_first {
            usage.current_requests += 1;
            self.active.insert(team.clone());
        }
        usage.last_request_at = now;
        if let Some(spent) = usage.spend(now) {
            if !is_first {
                usage.waiting.pop_front();
            }
            // A short grant needs no message to close it, as it expires soon.
            if spent.tokens_left == 0 && spent.life_ms > settings.short_grant_ms {
                let closing = self.closes.entry((spent.from, slot)).or_default();
                closing.closes.push(close(spent.seq, team, 0));
            }
            return RateDecision::Admit;
        }
        self.request_or_refuse(now, team, slot, is_first, settings)
    }

    fn request_or_refuse(
        &mut self,
        now: ClockTime,
        team: &TeamName,
        slot: u16,
        is_first: bool,
        settings: &RateSettings,
    ) -> RateDecision {
        let is_requested = self.is_requested(team);
        let may_have_tokens = is_requested || self.may_have_tokens(now, team, slot);
        let is_recovering = self.is_recovering(now, slot);
        let Some(usage) = self.teams.get_mut(team) else {
            return RateDecision::Refuse { retry_after_ms: 0 };
        };
        let next_ms = usage.next_token_ms(now);
        let is_soon = next_ms.is_some_and(|next_ms| next_ms <= settings.wait_ms);
        let may_wait = is_soon && (!is_first || usage.waiting.is_empty());
        if !may_have_tokens && !is_recovering && !may_wait {
            if !is_first {
                usage.waiting.pop_front();
            }
            return RateDecision::Refuse {
                retry_after_ms: next_ms.unwrap_or(settings.lease_ms),
            };
        }
        if is_first && usage.waiting.len() >= settings.max_waiting {
            return RateDecision::Refuse {
                retry_after_ms: settings.wait_ms,
            };
        }
        if is_first {
            usage.waiting.push_back(now);
        }
        self.is_poll_due |= !is_requested;
        RateDecision::Wait {
            wait_ms: settings.wait_ms,
        }
    }

    /// Returns whether some allocator may have tokens of a team, or none is known yet.
    fn may_have_tokens(&self, now: ClockTime, team: &TeamName, slot: u16) -> bool {
        let Some(usage) = self.teams.get(team) else {
            return false;
        };
        let pools = self.pools(slot);
        let mut pools = pools
            .filter(|(centre, _)| usage.is_allocating(centre))
            .peekable();
        pools.peek().is_none() || pools.any(|(centre, _)| !usage.is_exhausted(now, centre))
    }

    /// Returns whether an allocator of a slot has recently failed to answer or been replaced.
    ///
    /// Requests then wait for tokens, as the new allocator starts with few.
    fn is_recovering(&self, now: ClockTime, slot: u16) -> bool {
        let allocator_lost_at = self.allocator_lost_at.get(&slot);
        allocator_lost_at.is_some_and(|time| now.since_ms(*time) < RECOVERY_MS)
    }

    /// Records that a waiting request has stopped waiting.
    pub(crate) fn stop_waiting(&mut self, team: &TeamName) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.waiting.pop_front();
        }
    }

    /// Returns whether an answer has arrived since the last call, so waiting requests should be
    /// decided again.
    pub(crate) fn take_wake_up(&mut self) -> bool {
        std::mem::take(&mut self.has_answer)
    }

    /// Returns whether a pending token request includes tokens of the team.
    fn is_requested(&self, team: &TeamName) -> bool {
        self.token_requests
            .values()
            .any(|request| request.demands.iter().any(|demand| demand.team == *team))
    }

    /// Returns the data centres and allocators of a slot's pools.
    fn pools(&self, slot: u16) -> impl Iterator<Item = (&CentreName, &VmName)> {
        let first = (slot, CentreName::new(""));
        let pools = self.allocators.range(first..);
        pools
            .take_while(move |(pool, _)| pool.0 == slot)
            .map(|(pool, vm)| (&pool.1, vm))
    }

    /// Abandons token requests without an answer in time, returns unused tokens and sends new token
    /// requests.
    pub(crate) fn poll(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        self.is_poll_due = false;
        self.mark_slow_requests(now, settings);
        let is_timed_out = |request: &PendingRequest| {
            now.since_ms(request.requested_at) >= settings.request_timeout_ms
        };
        let lost = self
            .token_requests
            .values()
            .filter(|request| is_timed_out(request));
        self.allocator_lost_at
            .extend(lost.map(|request| (request.pool.0, now)));
        self.abandon_requests(is_timed_out);
        self.return_unused(now, settings);
        self.send_closes(actions);
        self.send_requests(now, settings, actions);
    }

    /// Marks the requests without an answer after `hedge_ms`, and their pools as slow.
    fn mark_slow_requests(&mut self, now: ClockTime, settings: &RateSettings) {
        for request in self.token_requests.values_mut() {
            if now.since_ms(request.requested_at) >= settings.hedge_ms && !request.is_hedged {
                request.is_hedged = true;
                self.slow_pools.insert(request.pool.clone(), now);
            }
        }
    }

    /// Abandons the token requests that `is_abandoned` selects; answers that still arrive are ignored.
    fn abandon_requests(&mut self, is_abandoned: impl Fn(&PendingRequest) -> bool) {
        let abandoned = self
            .token_requests
            .extract_if(.., |_, request| is_abandoned(request));
        for (seq, request) in abandoned {
            let closing = self.closes.entry((request.to, request.pool.0)).or_default();
            closing.abandoned.push(seq);
        }
    }

    /// Returns the grants beyond twice the recent demand of their team, all grants of idle teams and
    /// those about to expire.
    fn return_unused(&mut self, now: ClockTime, settings: &RateSettings) {
        self.active.retain(|team| {
            let Some(usage) = self.teams.get_mut(team) else {
                return false;
            };
            let slot = slot_of(team, settings.slots);
            usage.start_due_period(now, settings.prefetch_period_ms);
            usage.drop_timed_out(now, settings.wait_ms);
            usage.grants.retain(|grant| now < grant.expires_at);
            let is_idle = now.since_ms(usage.last_request_at) >= settings.idle_ms;
            let max_held = u64::from(if is_idle {
                0
            } else {
                2 * usage.previous_requests.max(usage.current_requests)
            });
            let mut held = 0;
            usage.grants.retain(|grant| {
                held += u64::from(grant.tokens_left);
                let is_surplus =
                    held > max_held && now.since_ms(grant.received_at) >= settings.idle_ms;
                let is_expiring = now.until_ms(grant.expires_at) < RETURN_MARGIN_MS;
                if is_surplus || is_expiring {
                    let closing = self.closes.entry((grant.from.clone(), slot)).or_default();
                    closing
                        .closes
                        .push(close(grant.seq, team, grant.tokens_left));
                }
                !(is_surplus || is_expiring)
            });
            !usage.has_no_activity()
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

    fn send_requests(
        &mut self,
        now: ClockTime,
        settings: &RateSettings,
        actions: &mut Vec<RateAction>,
    ) {
        let mut demands: BTreeMap<PoolKey, Vec<TeamDemand>> = BTreeMap::new();
        let teams: Vec<TeamName> = self.active.iter().cloned().collect();
        for team in teams {
            let slot = slot_of(&team, settings.slots);
            for (centre, tokens) in self.tokens_to_request(now, &team, slot, settings) {
                let team = team.clone();
                demands
                    .entry((slot, centre))
                    .or_default()
                    .push(TeamDemand { team, tokens });
            }
        }
        for (pool, demands) in demands {
            let Some(to) = self.allocators.get(&pool).cloned() else {
                continue;
            };
            let life_ms = self.requested_life_ms(&pool, &demands, settings);
            self.seq += 1;
            let message = RateMessage::Request {
                slot: pool.0,
                seq: self.seq,
                life_ms,
                demands: demands.clone(),
            };
            actions.push(RateAction::Send(to.clone(), message));
            let request = PendingRequest {
                pool,
                to,
                requested_at: now,
                demands,
                is_hedged: false,
            };
            self.token_requests.insert(self.seq, request);
        }
    }

    /// Applies a grant, whose lifetime counts from when it was requested and is shortened by the
    /// possible drift between the clocks. A grant that wasn't requested from its sender is ignored.
    pub(crate) fn receive(
        &mut self,
        now: ClockTime,
        from: &VmName,
        seq: u64,
        life_ms: u64,
        grants: Vec<TeamGrant>,
        settings: &RateSettings,
    ) {
        let is_expected = self
            .token_requests
            .get(&seq)
            .is_some_and(|request| request.to == *from);
        let Some(request) = self.token_requests.remove(&seq).filter(|_| is_expected) else {
            return;
        };
        self.slow_pools.remove(&request.pool);
        self.has_answer = true;
        let age_ms = now.since_ms(request.requested_at);
        self.is_answer_quick = age_ms * QUICK_ANSWER_DIVISOR <= settings.short_grant_ms;
        let expires_at = request.requested_at.plus_ms(settings.shorter_ms(life_ms));
        for grant in grants {
            let demand = request
                .demands
                .iter()
                .find(|demand| demand.team == grant.team);
            let requested_tokens = demand.map_or(0, |demand| demand.tokens);
            let Some(usage) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            // The allocator has no more tokens now; `next_ms` is when it expects to have another.
            if grant.tokens < requested_tokens {
                let retry_ms = u64::from(grant.next_ms).clamp(
                    settings.min_exhausted_retry_ms,
                    settings.max_exhausted_retry_ms,
                );
                usage
                    .exhausted_until
                    .insert(request.pool.1.clone(), now.plus_ms(retry_ms));
                self.is_poll_due = true;
            }
            if grant.tokens > 0 && now < expires_at {
                self.active.insert(grant.team.clone());
                usage.grants.push_back(HeldGrant {
                    from: from.clone(),
                    seq,
                    tokens_left: grant.tokens,
                    life_ms,
                    expires_at,
                    received_at: now,
                });
            }
            self.is_poll_due |= usage.waiting.len() > usage.held_tokens(now) as usize;
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
