/// When a [`VmRouter`](crate::VmRouter) chooses by the free room of VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoomRule {
    /// Once a VM of the service has reported how long work takes on its host.
    #[default]
    WhenStated,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// The settings of the choice by free room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomSettings {
    /// When VMs are chosen by room.
    pub rule: RoomRule,
    /// The number of VMs of one data centre, drawn at random, of which the cheapest is chosen.
    pub compared_vms: usize,
    /// The age at which reported figures have lost their weight, in milliseconds.
    pub fresh_ms: u64,
    /// The weight of a VM's load in its cost.
    pub load_weight: f64,
    /// The load from which a call with a small body goes to another data centre.
    pub small_spill_load: f64,
    /// The load from which any call goes to another data centre.
    pub spill_load: f64,
    /// How much lower the load in another data centre has to be for a call to go there.
    pub spill_gain: f64,
    /// The size of a call's bodies up to which it counts as small, in bytes.
    pub small_bytes: u64,
    /// The load up to which a VM counts as having room for a call that another VM sends on.
    pub room_load: f64,
    /// Whether a call may move on from a VM where it would wait.
    pub moves_calls: bool,
    /// The figures about other VMs in a message within a data centre.
    pub near_news: usize,
    /// The length of a message to another data centre for each figure that it carries, in bytes.
    pub bytes_per_far_news: u64,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self {
            rule: RoomRule::WhenStated,
            compared_vms: 4,
            fresh_ms: 300,
            load_weight: 4.0,
            small_spill_load: 1.0,
            spill_load: 1.05,
            spill_gain: 0.2,
            small_bytes: 8 * 1024,
            room_load: 0.85,
            moves_calls: true,
            near_news: 4,
            bytes_per_far_news: 800,
        }
    }
}
