use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, TeamName, VmName};
use rate::{RateAction, RateDecision, RateMessage, TeamRate};
use streams::{
    LogEra, LogStream, NewRecord, PlatformLog, RecordBody, RelayBatch, RelayPull, StreamFeed,
};

use crate::call_answer::CallRefusal;
use crate::config_watch::pull_from;
use crate::log_return::on_log_return;
use crate::node_core::NodeCore;
use crate::node_message::NodeMessage;
use crate::peer_exchange::exchange_message;
use crate::stream_host::StreamWatch;

/// The retry delay sent to the caller of a request for which no token arrived in time, in
/// milliseconds.
const NO_TOKENS_RETRY_AFTER_MS: u64 = 200;

/// A request waits for tokens for at most the time left until its deadline divided by this, so that
/// a refused request has time left to retry.
const TOKEN_WAIT_DIVISOR: u64 = 2;

/// Follows the stream of rate records, and polls the team limiter after each update.
pub(crate) struct RateWatch(pub(crate) Rc<NodeCore>);

impl StreamWatch for RateWatch {
    fn on_update(&self, now: ClockTime) {
        poll_rates(&self.0, now);
    }

    fn on_went_back(&self, stream: LogStream, era: LogEra) {
        on_log_return(&self.0, stream, era);
    }

    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch> {
        pull_from(&self.0, peer, pull).await
    }
}

/// Removes a request from the limiter's waiting requests if the guard is dropped before the request
/// is admitted or refused, such as when its caller disconnects.
struct TokenWaitGuard<'a> {
    core: &'a NodeCore,
    team: &'a TeamName,
    is_decided: bool,
}

impl Drop for TokenWaitGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            let team = self.team;
            self.core
                .rates
                .with(|feed| feed.fold().limiter.stop_waiting(team));
        }
    }
}

/// Admits a request with a token of its team, and waits for one if it may arrive in time.
///
/// # Errors
///
/// Returns a refusal when the team exceeds its rate or no token arrives in time.
pub(crate) async fn admit_team(
    core: &Rc<NodeCore>,
    team: &TeamName,
    deadline: ClockTime,
) -> Result<(), CallRefusal> {
    // Wakes the timer task, which polls the limiter.
    core.activity.notify();
    let wait_ms = match decide(core, team, true) {
        RateDecision::Admit => return Ok(()),
        RateDecision::Refuse { retry_after_ms } => return Err(over_rate(retry_after_ms)),
        RateDecision::Wait { wait_ms } => wait_ms,
    };
    let now = core.now();
    let wait_until = now.plus_ms(wait_ms.min(now.until_ms(deadline) / TOKEN_WAIT_DIVISOR));
    let mut wait = TokenWaitGuard {
        core,
        team,
        is_decided: false,
    };
    loop {
        let time_left = Duration::from_millis(core.now().until_ms(wait_until));
        if time_left.is_zero() {
            return Err(over_rate(NO_TOKENS_RETRY_AFTER_MS));
        }
        let _ = timeout(time_left, core.tokens.wait()).await;
        let decision = decide(core, team, false);
        wait.is_decided = !matches!(decision, RateDecision::Wait { .. });
        match decision {
            RateDecision::Admit => return Ok(()),
            RateDecision::Refuse { retry_after_ms } => return Err(over_rate(retry_after_ms)),
            RateDecision::Wait { .. } => {}
        }
    }
}

/// Polls the limiter if that is due, and executes the resulting actions.
pub(crate) fn poll_rates(core: &Rc<NodeCore>, now: ClockTime) {
    let mut actions = Vec::new();
    core.rates.with(|feed| {
        if feed.is_caught_up() {
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
    execute_rate_actions(core, actions);
    wake_token_waiters(core);
}

/// Wakes the requests that wait for tokens if an allocator has answered since the last check.
fn wake_token_waiters(core: &NodeCore) {
    if core.rates.with(|feed| feed.fold().limiter.take_wake_up()) {
        core.tokens.notify();
    }
}

/// Handles a message from the limiter of another node.
pub(crate) fn receive_rate_message(core: &Rc<NodeCore>, from: &VmName, message: RateMessage) {
    let now = core.now();
    let mut actions = Vec::new();
    core.rates.with(|feed| {
        let limiter = &mut feed.fold().limiter;
        limiter.receive(now, from, message, &mut actions);
    });
    execute_rate_actions(core, actions);
    wake_token_waiters(core);
}

/// Sets the rates of the limiter to those in the contract in force.
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

/// Decides whether a request is admitted, refused or waits; `is_first` is `false` for a request that
/// is already waiting.
///
/// A request that would wait is decided again after a poll of the limiter, which may grant tokens
/// at once if this node is the team's allocator.
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
    CallRefusal::not_run(RefusalReason::OverRate).with_retry_after_ms(retry_after_ms)
}

fn execute_rate_actions(core: &Rc<NodeCore>, actions: Vec<RateAction>) {
    for action in actions {
        let core = Rc::clone(core);
        match action {
            RateAction::Send(vm, message) => {
                let sending = async move {
                    exchange_message(&core, &vm, &NodeMessage::Rate(message)).await;
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
