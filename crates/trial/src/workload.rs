/// A pattern of demand, with the disturbance that it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Demand at half of capacity.
    SteadyHalf,
    /// Demand at nine tenths of capacity.
    SteadyFull,
    /// Demand at twice capacity during the disturbance.
    Demand2,
    /// Demand at five times capacity during the disturbance.
    Demand5,
    /// Demand at ten times capacity during the disturbance.
    Demand10,
    /// The bottleneck service runs at a fifth of its speed for 30 s, then at full speed again.
    SlowService,
    /// One team sends eight times its rate.
    GreedyTeam,
    /// For 10 s, the backend servers of the bottleneck service have half of the slots that they
    /// announce, and their throughput falls as more requests run than that.
    Thrashing,
    /// A third of the VMs restart cold and speed up gradually.
    ColdStarts,
    /// Demand at 0.8 of capacity; a third of the VMs restart and run at a fifth of their speed for
    /// the first 10 s.
    ColdSteps,
    /// A third of the backend servers announce three times their slots and report no load; the
    /// load reports of another third are up to 2 s old.
    FalseReports,
    /// A third of the VMs fail at the same time.
    VmsGone,
    /// Demand at twice capacity during the disturbance; of every three VMs of a service, one has
    /// half of the default slots and one has one and a half times as many.
    UnequalVms,
    /// Backend servers differ in speed, hosts turn slow for moments, and the demand of each data
    /// centre swings.
    UnevenHosts,
}

/// The time before the disturbance starts, in milliseconds.
pub(crate) const WARM_UP_MS: u64 = 4_000;
/// The observation time after the disturbance, in milliseconds.
pub(crate) const OBSERVE_AFTER_MS: u64 = 8_000;
/// The observation time after the disturbance when callers wait for their retry delay, in
/// milliseconds.
pub(crate) const LONG_OBSERVE_AFTER_MS: u64 = 300_000;

impl Workload {
    /// The workloads on which kinds of nodes are compared.
    pub const ALL: [Self; 13] = [
        Self::SteadyHalf,
        Self::SteadyFull,
        Self::Demand2,
        Self::Demand5,
        Self::Demand10,
        Self::SlowService,
        Self::GreedyTeam,
        Self::Thrashing,
        Self::ColdStarts,
        Self::ColdSteps,
        Self::FalseReports,
        Self::VmsGone,
        Self::UnequalVms,
    ];

    /// Returns the name used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SteadyHalf => "steady-0.5",
            Self::SteadyFull => "steady-0.9",
            Self::Demand2 => "demand-2",
            Self::Demand5 => "demand-5",
            Self::Demand10 => "demand-10",
            Self::SlowService => "slow-service",
            Self::GreedyTeam => "greedy-team",
            Self::Thrashing => "thrashing",
            Self::ColdStarts => "cold-starts",
            Self::ColdSteps => "cold-steps",
            Self::FalseReports => "false-reports",
            Self::VmsGone => "vms-gone",
            Self::UnequalVms => "unequal-vms",
            Self::UnevenHosts => "uneven-hosts",
        }
    }

    /// Returns the demand outside the disturbance, as a fraction of capacity.
    pub(crate) const fn base_demand(self) -> f64 {
        match self {
            Self::SteadyHalf => 0.5,
            Self::SteadyFull | Self::FalseReports | Self::VmsGone => 0.9,
            Self::ColdStarts => 0.6,
            Self::UnevenHosts => 0.75,
            _ => 0.8,
        }
    }

    /// Returns the demand during the disturbance, as a fraction of capacity.
    pub(crate) const fn disturbed_demand(self) -> f64 {
        match self {
            Self::Demand2 | Self::UnequalVms => 2.0,
            Self::Demand5 => 5.0,
            Self::Demand10 => 10.0,
            _ => self.base_demand(),
        }
    }

    /// Returns the factor applied to the demand of a team during the disturbance.
    pub(crate) const fn team_factor(self, team: usize) -> f64 {
        match (self, team) {
            (Self::GreedyTeam, GREEDY_TEAM) => 8.0,
            _ => 1.0,
        }
    }

    /// Returns the slots of a VM of a service that has `default_slots` per VM.
    pub(crate) const fn vm_slots(self, instance: usize, default_slots: u32) -> u32 {
        match (self, instance % 3) {
            (Self::UnequalVms, 0) => default_slots / 2,
            (Self::UnequalVms, 2) => default_slots + default_slots / 2,
            _ => default_slots,
        }
    }

    /// Returns the duration of the disturbance, in milliseconds.
    pub(crate) const fn disturbance_ms(self) -> u64 {
        match self {
            Self::SlowService => 30_000,
            Self::SteadyFull => 20_000,
            Self::UnevenHosts => 4_000,
            _ => 10_000,
        }
    }

    /// Returns whether the disturbance ends, so that recovery can be measured.
    pub(crate) const fn is_temporary(self) -> bool {
        !matches!(
            self,
            Self::SteadyHalf
                | Self::SteadyFull
                | Self::FalseReports
                | Self::VmsGone
                | Self::UnevenHosts
        )
    }
}

/// The index of the team that exceeds its rate.
pub(crate) const GREEDY_TEAM: usize = 2;
