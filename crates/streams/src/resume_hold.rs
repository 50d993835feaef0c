use clock::ClockTime;

use crate::UpdateTime;

/// Settings of a [`ResumeHold`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeSettings {
    /// The time between two runs from which on the process was paused, in milliseconds. It is several
    /// times the longest time between the timers of a process that runs.
    pub pause_ms: u64,
    /// The age of the last update from which on the state may be out of date, in milliseconds.
    pub max_age_ms: u64,
    /// How long after a pause an update is waited for, in milliseconds.
    pub hold_ms: u64,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            pause_ms: 500,
            max_age_ms: 1_500,
            hold_ms: 500,
        }
    }
}

/// Decides whether requests wait for an update because the process has been paused.
///
/// A process that runs asks for updates all the time, and acts on the last state that it got. One that
/// was paused, or got no processor time, finds requests that arrived meanwhile, and an answer on the
/// way that it hasn't read. Its own clock tells it that its state is old. If no update comes in
/// `hold_ms`, its sources are away, as they may be for a process that runs, and requests go on.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_streams::{ResumeHold, ResumeSettings, UpdateTime};
///
/// let mut hold = ResumeHold::new(ResumeSettings::default());
/// let fresh_at = UpdateTime::at(ClockTime::from_ms(1_000));
/// hold.record_run(ClockTime::from_ms(1_100));
/// let resumed = ClockTime::from_ms(5_000);
/// assert_eq!(hold.left_ms(resumed, Some(fresh_at)), 500);
/// assert_eq!(hold.left_ms(resumed, Some(UpdateTime::at(resumed))), 0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ResumeHold {
    settings: ResumeSettings,
    last_run_at: Option<ClockTime>,
    resumed_at: Option<ClockTime>,
}

impl ResumeHold {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub const fn new(settings: ResumeSettings) -> Self {
        Self {
            settings,
            last_run_at: None,
            resumed_at: None,
        }
    }

    /// Records that the process runs.
    pub fn record_run(&mut self, now: ClockTime) {
        let paused_ms = self.last_run_at.map_or(0, |last| now.since_ms(last));
        if paused_ms >= self.settings.pause_ms {
            self.resumed_at = Some(now);
        }
        self.last_run_at = Some(now);
    }

    /// Records that the process runs, and returns how much longer requests wait for an update, in
    /// milliseconds. `fresh_at` is the time up to which all updates are known.
    pub fn left_ms(&mut self, now: ClockTime, fresh_at: Option<UpdateTime>) -> u64 {
        self.record_run(now);
        let is_current = |fresh_at: UpdateTime| fresh_at.age_ms(now) < self.settings.max_age_ms;
        let Some(resumed_at) = self.resumed_at else {
            return 0;
        };
        if fresh_at.is_none_or(is_current) {
            return 0;
        }
        now.until_ms(resumed_at.plus_ms(self.settings.hold_ms))
    }
}
