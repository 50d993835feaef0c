use std::collections::VecDeque;

use clock::ClockTime;

use crate::{WarmUpChange, WarmUpLimits, WarmUpSettings, WarmUpSource, WarmUpStatement};

/// The window in which starts are counted, in milliseconds: a second and a margin for the
/// resolution of the clock.
const WINDOW_MS: u64 = 1_020;
/// The fraction of the allowed requests in a window that are started.
const SAFETY_FACTOR: f64 = 15.0 / 16.0;
/// The fraction of the allowed requests after which a question is due.
const QUESTION_SHARE: f64 = 0.75;
/// The minimum time between two questions, in milliseconds.
const MIN_QUESTION_GAP_MS: u64 = 5;
/// The same for questions that a failed request makes due, in milliseconds.
const URGENT_QUESTION_GAP_MS: u64 = 100;
/// The same while requests are paced, in milliseconds.
const PACED_QUESTION_GAP_MS: u64 = 20;
/// The time that each question without an answer adds to the gap before the next one, in
/// milliseconds.
const FAILURE_GAP_MS: u64 = 100;
/// The maximum time between two questions that are due, in milliseconds.
const MAX_QUESTION_GAP_MS: u64 = 500;
/// The longest that requests wait for the answer to a question while nothing but the age of the
/// last answer speaks against warmth, in milliseconds.
const MAX_BLOCK_MS: u64 = 8;
/// The time without an answer to a question or any request after which a backend server counts as
/// silent, in milliseconds.
const SILENCE_MS: u64 = 250;
/// The questions without an answer in a row after which a doubt ends without one.
const MUTE_FAILURES: u32 = 3;
/// The time after the last request during which no question is due, in milliseconds.
const DEMAND_MS: u64 = 1_000;
/// The lowest rate that requests are sent at, in requests per second.
const MIN_RATE_PER_S: f64 = 0.25;
/// The part of a second whose requests may be sent at once after a pause.
const BURST_DIVISOR: f64 = 4.0;
/// The most starts that are remembered.
const MAX_STARTS: usize = 1_024;
/// The number of milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// The terms until the ones of the service are known.
const UNKNOWN_LIMITS: WarmUpLimits = WarmUpLimits {
    span_ms: 10_000,
    rate_per_s: 8.0,
    answers_questions: false,
};

/// Paces the requests to a backend server that is cold or may be.
///
/// It answers the load of cold backend servers that are sent what warm ones bear, fall over, come
/// back cold and are sent it again. All requests to a backend server pass its own node, so one
/// pacer keeps the bound for the whole fleet.
#[derive(Clone, Debug)]
pub(crate) struct WarmUpPacer {
    settings: WarmUpSettings,
    /// The terms of the service, `None` if it has none or before they are known.
    limits: Option<WarmUpLimits>,
    knows_terms: bool,
    belief: WarmthBelief,
    /// The starts that may have reached a cold backend server, the oldest first.
    starts: VecDeque<ClockTime>,
    tokens: f64,
    filled_at: ClockTime,
    /// When a request came last.
    demand_at: Option<ClockTime>,
    questions: QuestionState,
}

/// What is known of the backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WarmthBelief {
    /// It was warm at some time.
    Warm {
        as_of: ClockTime,
        /// When requests stop waiting for the answer to a question.
        blocked_until: Option<ClockTime>,
    },
    /// It may have started anew since this time.
    Doubtful { since: ClockTime },
    /// It has said that it is cold.
    Cold {
        until: ClockTime,
        stated_at: ClockTime,
        /// Whether an answer says so, and not only a report.
        is_confirmed: bool,
    },
}

/// The questions to the backend server about its state.
#[derive(Clone, Copy, Debug, Default)]
struct QuestionState {
    asked_at: Option<ClockTime>,
    is_asking: bool,
    /// The questions without an answer since the last one with an answer.
    failures: u32,
    /// When the first question was asked since which neither one nor a request was answered.
    unanswered_since: Option<ClockTime>,
    /// Whether something unusual calls for a question.
    is_urgent: bool,
}

impl WarmUpPacer {
    pub(crate) const fn new(settings: WarmUpSettings) -> Self {
        Self {
            settings,
            limits: None,
            knows_terms: false,
            belief: WarmthBelief::Doubtful {
                since: ClockTime::ZERO,
            },
            starts: VecDeque::new(),
            tokens: 0.0,
            filled_at: ClockTime::ZERO,
            demand_at: None,
            questions: QuestionState {
                asked_at: None,
                is_asking: false,
                failures: 0,
                unanswered_since: None,
                is_urgent: false,
            },
        }
    }

    /// Sets the terms of the service.
    pub(crate) fn set_limits(&mut self, now: ClockTime, limits: Option<WarmUpLimits>) {
        if self.limits.is_none() && limits.is_some() {
            self.belief = WarmthBelief::Doubtful { since: now };
            self.empty_bucket(now);
        }
        self.limits = limits;
        self.knows_terms = true;
    }

    /// Returns whether requests are paced.
    pub(crate) fn is_pacing(&self) -> bool {
        self.is_active() && !matches!(self.belief, WarmthBelief::Warm { .. })
    }

    /// Returns the rate that requests are paced at, if they are, in requests per second.
    pub(crate) fn rate_per_s(&self) -> Option<f64> {
        self.is_pacing().then(|| self.pace_per_s())
    }

    /// Records that a request has come.
    pub(crate) const fn record_demand(&mut self, now: ClockTime) {
        self.demand_at = Some(now);
    }

    /// Records that a request has been answered.
    pub(crate) const fn record_answer(&mut self) {
        self.questions.unanswered_since = None;
    }

    /// Doubts that a backend server is warm that has answered neither a question nor any request
    /// for some time. It may be down, and cold when it is back.
    pub(crate) fn check_silence(&mut self, now: ClockTime) -> WarmUpChange {
        let since = self.questions.unanswered_since;
        let is_silent = since.is_some_and(|since| now.since_ms(since) >= SILENCE_MS);
        if is_silent && !self.is_pacing() {
            return self.doubt(now);
        }
        WarmUpChange::Unchanged
    }

    /// Records that the backend server may have started anew.
    pub(crate) fn doubt(&mut self, now: ClockTime) -> WarmUpChange {
        let was_pacing = self.is_pacing();
        if !was_pacing {
            self.empty_bucket(now);
        }
        self.belief = WarmthBelief::Doubtful { since: now };
        self.change_from(was_pacing)
    }

    /// Expects questions to be answered again, for a backend server that has restarted.
    pub(crate) const fn expect_answers(&mut self) {
        self.questions.failures = 0;
    }

    /// Makes a question due, for something that may come from a new start but need not.
    pub(crate) const fn suspect(&mut self) {
        self.questions.is_urgent = true;
    }

    /// Records a statement about the cold time.
    pub(crate) fn record(&mut self, now: ClockTime, statement: WarmUpStatement) -> WarmUpChange {
        let was_pacing = self.is_pacing();
        match statement {
            WarmUpStatement { cold_ms: 0, source } => self.record_warm(now, source),
            WarmUpStatement { cold_ms, source } => self.record_cold(now, cold_ms, source),
        }
        self.change_from(was_pacing)
    }

    fn record_warm(&mut self, now: ClockTime, source: WarmUpSource) {
        let as_of = match source {
            WarmUpSource::Answer { sent_at } => sent_at,
            // A report may have been sent before the event that caused the doubt.
            WarmUpSource::Report if self.limits().answers_questions => return,
            WarmUpSource::Report => now,
        };
        let is_newer = match self.belief {
            WarmthBelief::Warm { as_of: known, .. } => as_of > known,
            WarmthBelief::Doubtful { since } => as_of >= since,
            WarmthBelief::Cold { stated_at, .. } => as_of >= stated_at,
        };
        if is_newer {
            self.believe_warm(as_of);
        }
    }

    fn record_cold(&mut self, now: ClockTime, cold_ms: u64, source: WarmUpSource) {
        let is_confirmed = source != WarmUpSource::Report || !self.limits().answers_questions;
        if !is_confirmed
            && let WarmthBelief::Cold {
                is_confirmed: true, ..
            } = self.belief
        {
            return;
        }
        if !self.is_pacing() {
            self.empty_bucket(now);
        }
        self.belief = WarmthBelief::Cold {
            until: now.plus_ms(cold_ms),
            stated_at: now,
            is_confirmed,
        };
    }

    /// Returns when the backend server has to be asked about its state, if it has to be.
    pub(crate) fn next_question(&mut self, now: ClockTime) -> Option<ClockTime> {
        self.settle(now);
        let questions = self.questions;
        if self.limits.is_none() || !self.limits().answers_questions || questions.is_asking {
            return None;
        }
        let has_demand = self
            .demand_at
            .is_some_and(|demand_at| now.since_ms(demand_at) < DEMAND_MS);
        let is_due = match self.belief {
            WarmthBelief::Cold {
                until,
                is_confirmed: true,
                ..
            } => return has_demand.then_some(until),
            WarmthBelief::Doubtful { .. } | WarmthBelief::Cold { .. } => has_demand,
            WarmthBelief::Warm { .. } => questions.is_urgent || self.needs_statement(now),
        };
        let gap_ms = self.question_gap_ms(now);
        let earliest = questions
            .asked_at
            .map_or(now, |asked_at| asked_at.plus_ms(gap_ms));
        is_due.then(|| earliest.max(now))
    }

    /// Returns whether so many requests have started since the backend server was last known to be
    /// warm that it has to be asked.
    fn needs_statement(&self, now: ClockTime) -> bool {
        let asks_from = (self.allowed() * QUESTION_SHARE).max(1.0);
        to_float(self.count(now)) >= asks_from
    }

    /// Returns the minimum time between the last question and the next one, in milliseconds.
    fn question_gap_ms(&self, now: ClockTime) -> u64 {
        let failures = u64::from(self.questions.failures);
        if failures > 0 {
            (failures * FAILURE_GAP_MS).min(MAX_QUESTION_GAP_MS)
        } else if self.is_pacing() {
            PACED_QUESTION_GAP_MS
        } else if self.needs_statement(now) {
            MIN_QUESTION_GAP_MS
        } else {
            URGENT_QUESTION_GAP_MS
        }
    }

    /// Records that the backend server is asked about its state.
    pub(crate) const fn begin_question(&mut self, now: ClockTime) {
        self.questions.asked_at = Some(now);
        self.questions.is_asking = true;
        self.questions.is_urgent = false;
        if self.questions.unanswered_since.is_none() {
            self.questions.unanswered_since = Some(now);
        }
    }

    /// Records the answer to the question, the time that the backend server stays cold, or that
    /// there was none.
    pub(crate) fn finish_question(&mut self, now: ClockTime, cold_ms: Option<u64>) -> WarmUpChange {
        self.questions.is_asking = false;
        let Some(sent_at) = self.questions.asked_at else {
            return WarmUpChange::Unchanged;
        };
        let Some(cold_ms) = cold_ms else {
            self.questions.failures += 1;
            return WarmUpChange::Unchanged;
        };
        self.questions.unanswered_since = None;
        self.questions.failures = 0;
        let source = WarmUpSource::Answer { sent_at };
        self.record(now, WarmUpStatement { cold_ms, source })
    }

    /// Returns whether a request may be sent.
    pub(crate) fn may_start(&mut self, now: ClockTime) -> bool {
        if !self.is_active() {
            return true;
        }
        self.settle(now);
        self.fill(now);
        let is_within = self.count(now) < self.guard();
        let answers_questions = self.limits().answers_questions;
        if let WarmthBelief::Warm { blocked_until, .. } = &mut self.belief {
            if is_within || !answers_questions {
                return true;
            }
            return now >= *blocked_until.get_or_insert(now.plus_ms(MAX_BLOCK_MS));
        }
        is_within && self.tokens >= 1.0
    }

    /// Charges a request that is sent.
    pub(crate) fn charge(&mut self, now: ClockTime) {
        if !self.is_active() {
            return;
        }
        self.tokens -= 1.0;
        self.starts.push_back(now);
        let most = self.guard();
        while self.starts.len() > most {
            self.starts.pop_front();
        }
    }

    /// Returns the time until a request with `ahead` others before it may be sent, in milliseconds.
    pub(crate) fn wait_ms(&self, ahead: usize) -> u64 {
        if !self.is_pacing() || self.awaits_answer() {
            return 0;
        }
        self.token_wait_ms(ahead).max(self.window_wait_ms())
    }

    /// Returns when the next request may be sent, if it is kept back.
    pub(crate) fn next_start(&self) -> Option<ClockTime> {
        if !self.is_active() {
            return None;
        }
        if let WarmthBelief::Warm { blocked_until, .. } = self.belief {
            return blocked_until.filter(|until| *until > self.filled_at);
        }
        let wait_ms = self.token_wait_ms(0).max(self.window_wait_ms());
        Some(self.filled_at.plus_ms(wait_ms))
    }

    /// Returns whether requests may wait for the answer to a question, which is expected at once.
    const fn awaits_answer(&self) -> bool {
        matches!(self.belief, WarmthBelief::Doubtful { .. })
            && self.limits().answers_questions
            && self.questions.failures == 0
    }

    /// Applies the end of a stated cold time, and of a doubt that no answer can end.
    fn settle(&mut self, now: ClockTime) {
        if !self.knows_terms {
            return;
        }
        let limits = self.limits();
        match self.belief {
            WarmthBelief::Cold { until, .. } if now >= until => {
                if limits.answers_questions {
                    self.belief = WarmthBelief::Doubtful { since: until };
                } else {
                    self.believe_warm(until);
                }
            }
            WarmthBelief::Doubtful { since }
                if now.since_ms(since) >= limits.span_ms
                    && (!limits.answers_questions || self.questions.failures >= MUTE_FAILURES) =>
            {
                self.believe_warm(now);
            }
            _ => {}
        }
    }

    /// Records that the backend server was warm; what started before can't have reached it cold.
    fn believe_warm(&mut self, as_of: ClockTime) {
        self.belief = WarmthBelief::Warm {
            as_of,
            blocked_until: None,
        };
        let earlier = self.starts.partition_point(|start| *start < as_of);
        self.starts.drain(..earlier);
    }

    const fn limits(&self) -> WarmUpLimits {
        match self.limits {
            Some(limits) => limits,
            None => UNKNOWN_LIMITS,
        }
    }

    /// Returns whether the service has terms, or may have some that aren't known yet.
    const fn is_active(&self) -> bool {
        self.limits.is_some() || (self.settings.awaits_terms && !self.knows_terms)
    }

    fn change_from(&self, was_pacing: bool) -> WarmUpChange {
        match (was_pacing, self.is_pacing()) {
            (false, true) => WarmUpChange::Paced,
            (true, false) => WarmUpChange::Ended,
            _ => WarmUpChange::Unchanged,
        }
    }

    /// Returns the requests that a cold backend server may get in a second.
    fn allowed(&self) -> f64 {
        (self.limits().rate_per_s * self.settings.over + self.settings.slack).max(1.0)
    }

    /// Returns the most requests that are started in a window on a backend server that may be cold.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is at least 1 and bounded"
    )]
    fn guard(&self) -> usize {
        let most = (self.allowed() * SAFETY_FACTOR).floor().max(1.0);
        (most as usize).min(MAX_STARTS)
    }

    /// Returns the requests that may start at once after a pause.
    fn burst(&self) -> f64 {
        let share = self.limits().rate_per_s / BURST_DIVISOR;
        (self.settings.slack / 2.0).min(share).max(1.0)
    }

    /// Returns the rate at which requests are paced, in requests per second.
    fn pace_per_s(&self) -> f64 {
        let most = to_float(self.guard()) - self.burst();
        self.limits().rate_per_s.min(most).max(MIN_RATE_PER_S)
    }

    /// Returns the starts in the window that ends now.
    fn count(&self, now: ClockTime) -> usize {
        let is_over = |start: &ClockTime| now.since_ms(*start) >= WINDOW_MS;
        self.starts.len() - self.starts.partition_point(is_over)
    }

    fn empty_bucket(&mut self, now: ClockTime) {
        self.tokens = 0.0;
        self.filled_at = now;
    }

    fn fill(&mut self, now: ClockTime) {
        let span_s = to_float_ms(now.since_ms(self.filled_at)) / MS_PER_S;
        self.tokens = (self.tokens + span_s * self.pace_per_s()).min(self.burst());
        self.filled_at = self.filled_at.max(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "queues are short, the rate is above 0 and waits are never negative"
    )]
    fn token_wait_ms(&self, ahead: usize) -> u64 {
        let missing = (to_float(ahead) + 1.0 - self.tokens).max(0.0);
        (missing * MS_PER_S / self.pace_per_s()).ceil() as u64
    }

    /// Returns the time until the window has room for another start, in milliseconds.
    fn window_wait_ms(&self) -> u64 {
        let (count, most) = (self.count(self.filled_at), self.guard());
        if count < most {
            return 0;
        }
        let first = self.starts.get(self.starts.len() - most);
        first.map_or(0, |first| self.filled_at.until_ms(first.plus_ms(WINDOW_MS)))
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn to_float(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
const fn to_float_ms(span_ms: u64) -> f64 {
    span_ms as f64
}
