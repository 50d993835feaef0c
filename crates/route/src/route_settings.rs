/// The settings of a [`VmRouter`](crate::VmRouter).
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns off one independent part"
)]
pub struct RouteSettings {
    /// Whether the less loaded of two is taken; else one is picked at random.
    pub compares_two: bool,
    /// Whether loads reported on answers count.
    pub uses_reports: bool,
    /// Whether VMs in the caller's own data centre come first.
    pub prefers_local: bool,
    /// Whether failing VMs are ejected.
    pub ejects: bool,
    /// The load, as a part of capacity, above which requests spill to other data centres.
    pub spill_load: f64,
    /// The time in which a reported load loses all its weight, in milliseconds.
    pub report_age_ms: u64,
    /// The failures in a row that eject a VM.
    pub eject_failures: u32,
    /// The time of a first ejection, in milliseconds; each further one is twice as long.
    pub eject_ms: u64,
    /// The longest time of an ejection, in milliseconds.
    pub max_eject_ms: u64,
    /// The greatest part of a service's VMs that is ejected at a time.
    pub max_ejected_share: f64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            compares_two: true,
            uses_reports: true,
            prefers_local: true,
            ejects: true,
            spill_load: 0.7,
            report_age_ms: 500,
            eject_failures: 3,
            eject_ms: 1_000,
            max_eject_ms: 30_000,
            max_ejected_share: 0.4,
        }
    }
}
