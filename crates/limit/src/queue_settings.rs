use crate::{LimitSettings, ShedSettings, WarmUpSettings};

/// The settings of an [`AdmissionQueue`](crate::AdmissionQueue).
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns off one independent part"
)]
pub struct QueueSettings {
    /// The settings of the concurrency limit.
    pub limit: LimitSettings,
    /// The settings of the load shedding.
    pub shed: ShedSettings,
    /// The longest that a new request waits, in milliseconds.
    pub max_wait_ms: u64,
    /// Whether requests that can't finish before their deadline are refused before they start.
    pub checks_deadlines: bool,
    /// Whether more important requests start first.
    pub orders_by_class: bool,
    /// Whether teams take turns by weight (fair queueing) within a class.
    pub shares_by_team: bool,
    /// Whether nested calls start before new requests and are never shed.
    pub prioritizes_nested: bool,
    /// Whether requests start in shedding order instead of arrival order once the oldest one has
    /// waited longer than the target.
    pub orders_by_rank: bool,
    /// Whether only a few requests run until the first answer of the backend server, which may
    /// state the rate that it accepts.
    pub awaits_first_answer: bool,
    /// The bounds of the requests that a cold backend server gets.
    pub warm_up: WarmUpSettings,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            limit: LimitSettings::default(),
            shed: ShedSettings::default(),
            max_wait_ms: 400,
            checks_deadlines: true,
            orders_by_class: true,
            shares_by_team: true,
            prioritizes_nested: true,
            orders_by_rank: true,
            awaits_first_answer: false,
            warm_up: WarmUpSettings::default(),
        }
    }
}
