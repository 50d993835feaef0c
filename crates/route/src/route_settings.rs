use crate::RoomSettings;

/// The settings of a [`VmRouter`](crate::VmRouter).
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns off one independent part"
)]
pub struct RouteSettings {
    /// Whether the better of two random VMs is chosen; otherwise one VM is chosen at random.
    pub compares_two: bool,
    /// Whether loads reported with answers are used.
    pub uses_reports: bool,
    /// Whether VMs in the caller's own data centre are preferred.
    pub prefers_local: bool,
    /// Whether failing VMs are ejected.
    pub ejects: bool,
    /// The load, as a fraction of capacity, from which requests spill over to other data centres.
    pub spill_load: f64,
    /// The time in which the weight of a reported load falls to zero, in milliseconds.
    pub report_decay_ms: u64,
    /// The number of consecutive failures after which a VM is ejected.
    pub eject_failures: u32,
    /// The length of a first ejection, in milliseconds; each further one is twice as long.
    pub base_eject_ms: u64,
    /// The longest ejection, in milliseconds.
    pub max_eject_ms: u64,
    /// The largest share of a service's VMs that may be ejected at a time.
    pub max_ejected_share: f64,
    /// The choice by free room.
    pub room: RoomSettings,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            compares_two: true,
            uses_reports: true,
            prefers_local: true,
            ejects: true,
            spill_load: 0.7,
            report_decay_ms: 500,
            eject_failures: 3,
            base_eject_ms: 1_000,
            max_eject_ms: 30_000,
            max_ejected_share: 0.4,
            room: RoomSettings::default(),
        }
    }
}
