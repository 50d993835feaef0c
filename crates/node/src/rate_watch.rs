use std::rc::Rc;
use std::time::Duration;

use clock::ClockTime;
use compio::time::timeout;
use model::{RefusalReason, TeamName, VmName};
use platform::{LogStream, NewRecord, PlatformLog, RecordBody, RelayBatch, RelayPull};
use rate::{RateAction, RateDecision, RateMessage, TeamRate};

use crate::call_answer::CallRefusal;
use crate::config_watch::pull_from;
use crate::node_core::NodeCore;
use crate::node_message::NodeMessage;
use crate::peer_talk::ask_peer;
use crate::stream_host::StreamWatch;

/// The time after which callers come back when no tokens came in time, in milliseconds.
const NO_TOKENS_MS: u64 = 200;

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

/// Admits a request against its team's rate, and waits a little for tokens where that helps.
///
/// # Errors
///
/// Returns a refusal when the team is over its rate.
pub(crate) async fn admit_team(core: &Rc<NodeCore>, team: &TeamName) -> Result<(), CallRefusal> {
    core.activity.notify();
    let mut decision = decide(core, team, true);
    let mut give_up_at = None;
    loop {
        let wait_ms = match decision {
            RateDecision::Admit => return Ok(()),
            RateDecision::Refuse { retry_after_ms } => return Err(over_rate(retry_after_ms)),
            RateDecision::Ask { wait_ms } => wait_ms,
        };
        let now = core.now();
        let until = *give_up_at.get_or_insert(now.plus_ms(wait_ms));
        let left = Duration::from_millis(now.until_ms(until));
        if left.is_zero() {
            return Err(over_rate(NO_TOKENS_MS));
        }
        let _ = timeout(left, core.tokens.wait()).await;
        decision = decide(core, team, false);
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
        if limiter.next_poll() <= now {
            limiter.poll(now, &mut actions);
        }
    });
    carry_out(core, actions);
}

/// Takes a message of another node's limiter.
pub(crate) fn receive_rate(core: &Rc<NodeCore>, from: &VmName, message: RateMessage) {
    let now = core.now();
    let mut actions = Vec::new();
    core.rates.with(|feed| {
        let limiter = &mut feed.fold().limiter;
        limiter.receive(now, from, message, &mut actions);
    });
    carry_out(core, actions);
    core.tokens.notify();
}

/// Tells the limiter the rates of the contract in force.
pub(crate) fn put_rates(core: &NodeCore) {
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
    decision
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
