use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, TeamName, VmName};
use rate::{RateAction, RateDecision, RateMessage, TeamRate};
use streams::{LogStream, NewRecord, PlatformLog, RecordBody, RelayBatch, RelayPull, StreamFeed};

use crate::call_answer::CallRefusal;
use crate::config_watch::pull_from;
use crate::node_core::NodeCore;
use crate::node_message::NodeMessage;
use crate::peer_talk::ask_peer;
use crate::stream_host::StreamWatch;

/// The time after which callers come back when no tokens came in time, in milliseconds.
const NO_TOKENS_MS: u64 = 200;

/// The part of a request's time, as a divisor, for which it waits for its team's tokens: one that
/// is refused then has the time to come back.
const WAIT_PART: u64 = 2;

/// Lets the limiter act on what the rates stream brings.
pub(crate) struct RateWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for RateWatch {
    fn on_news(&self, now: ClockTime) {
        poll_rates(&self.0, now);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// A request that waits for its team's tokens, until it is dropped.
struct TokenWait<'a> {
    core: &'a NodeCore,
    team: &'a TeamName,
    is_over: bool,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let team = self.team;
            self.core
                .rates
                .with(|feed| feed.fold().limiter.stop_waiting(team));
        }
    }
}

/// Admits a request against its team's rate, and waits for tokens where some may come in time.
///
/// # Errors
///
/// Returns a refusal when the team is over its rate.
pub(crate) async fn admit_team(
    core: &Rc<NodeCore>,
    team: &TeamName,
    deadline: ClockTime,
) -> Result<(), CallRefusal> {
    core.activity.notify();
    let wait_ms = match decide(core, team, true) {
        RateDecision::Admit => return Ok(()),
        RateDecision::Refuse { retry_after_ms } => return Err(over_rate(retry_after_ms)),
        RateDecision::Wait { wait_ms } => wait_ms,
    };
    let now = core.now();
    let give_up_at = now.plus_ms(wait_ms.min(now.until_ms(deadline) / WAIT_PART));
    let mut wait = TokenWait {
        core,
        team,
        is_over: false,
    };
    loop {
        let left = Duration::from_millis(core.now().until_ms(give_up_at));
        if left.is_zero() {
            return Err(over_rate(NO_TOKENS_MS));
        }
        let _ = timeout(left, core.tokens.wait()).await;
        let decision = decide(core, team, false);
        wait.is_over = !matches!(decision, RateDecision::Wait { .. });
        match decision {
            RateDecision::Admit => return Ok(()),
            RateDecision::Refuse { retry_after_ms } => return Err(over_rate(retry_after_ms)),
            RateDecision::Wait { .. } => {}
        }
    }
}

/// Does what is due for the limiter.
pub(crate) fn poll_rates(core: &Rc<NodeCore>, now: ClockTime) {
    let mut actions = Vec::new();
    core.rates.with(|feed| {
        if feed.fresh_at().is_some() {
            feed.fold().limiter.log_caught_up(now);
        }
        let limiter = &mut feed.fold().limiter;
        if core.is_leaving() {
            limiter.leave();
        }
        if limiter.next_poll() <= now {
            limiter.poll(now, &mut actions);
        }
    });
    carry_out(core, actions);
    tell_waiting(core);
}

/// Wakes the requests that wait for tokens when there is news for them.
fn tell_waiting(core: &NodeCore) {
    if core.rates.with(|feed| feed.fold().limiter.take_wake_up()) {
        core.tokens.notify();
    }
}

/// Takes a message of another node's limiter.
pub(crate) fn receive_rate_message(core: &Rc<NodeCore>, from: &VmName, message: RateMessage) {
    let now = core.now();
    let mut actions = Vec::new();
    core.rates.with(|feed| {
        let limiter = &mut feed.fold().limiter;
        limiter.receive(now, from, message, &mut actions);
    });
    carry_out(core, actions);
    tell_waiting(core);
}

/// Tells the limiter the rates of the contract in force.
pub(crate) fn set_rates(core: &NodeCore) {
    let contract = core.contract();
    let version = core.config.with(|state| state.version().get());
    let teams = contract.teams.iter().map(|(team, terms)| {
        let rate = TeamRate {
            rate_per_s: terms.rate_per_s,
            burst: terms.burst,
        };
        (team.clone(), rate)
    });
    core.rates
        .with(|feed| feed.fold().limiter.set_contract(teams, version));
}

/// Decides on a request, with the tokens that this node can grant itself at once.
fn decide(core: &Rc<NodeCore>, team: &TeamName, is_first: bool) -> RateDecision {
    let now = core.now();
    let decision = core.rates.with(|feed| {
        let limiter = &mut feed.fold().limiter;
        if is_first {
            limiter.admit(now, team)
        } else {
            limiter.admit_again(now, team)
        }
    });
    poll_rates(core, now);
    if !matches!(decision, RateDecision::Wait { .. }) {
        return decision;
    }
    core.rates
        .with(|feed| feed.fold().limiter.admit_again(now, team))
}

const fn over_rate(retry_after_ms: u64) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::OverRate).after_ms(retry_after_ms)
}

fn carry_out(core: &Rc<NodeCore>, actions: Vec<RateAction>) {
    for action in actions {
        let core = Rc::clone(core);
        match action {
            RateAction::Send(vm, message) => {
                let sending = async move {
                    ask_peer(&core, &vm, &NodeMessage::Rate(message)).await;
                };
                compio::runtime::spawn(sending).detach();
            }
            RateAction::Append(record) => {
                let id = core.new_record_id();
                let body = RecordBody::encode(&record);
                let record = NewRecord { id, body };
                let appending = async move {
                    if let Err(error) = core.log.append(LogStream::Rates, vec![record]).await {
                        log::warn!(
                            "event=append-failed stream=rates error={:?}",
                            error.to_string()
                        );
                    }
                };
                compio::runtime::spawn(appending).detach();
            }
        }
    }
}
