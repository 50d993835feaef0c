/// A course of demand and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Demand at half of capacity.
    SteadyHalf,
    /// Demand at nine tenths of capacity.
    SteadyFull,
    /// Demand at twice capacity for a while.
    Demand2,
    /// Demand at five times capacity for a while.
    Demand5,
    /// Demand at ten times capacity for a while.
    Demand10,
    /// The scarcest service runs at a fifth of its speed for 30 s, then is healthy again.
    SlowService,
    /// One team sends eight times its rate.
    GreedyTeam,
    /// The backend servers of the scarcest service have half of the slots that they announce
    /// for 10 s, and do less work the more they run beyond them.
    Thrashing,
    /// A third of the VMs start cold.
    ColdStarts,
    /// Demand at 0.8 of capacity, and a third of the VMs run at a fifth of their speed for 10 s
    /// from their start on.
    ColdSteps,
    /// A third of the backend servers announce three times their slots and no load; the reports
    /// of another third come 2 s late.
    FalseReports,
    /// A third of the VMs are gone at once.
    VmsGone,
    /// Demand at twice capacity for a while; of each three VMs of a service one has half of the
    /// usual slots and one has one and a half times as many.
    UnequalVms,
}

/// The time before the cause sets in, in milliseconds.
pub(crate) const WARM_MS: u64 = 4_000;
/// The time observed after the cause has ended, in milliseconds.
pub(crate) const AFTER_MS: u64 = 8_000;
/// The time observed after the cause has ended when callers wait as told, in milliseconds.
pub(crate) const LONG_AFTER_MS: u64 = 300_000;

impl Workload {
    /// All workloads.
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
        }
    }

    /// Returns the demand outside the strain, as a part of capacity.
    pub(crate) const fn base_demand(self) -> f64 {
        match self {
            Self::SteadyHalf => 0.5,
            Self::SteadyFull | Self::FalseReports | Self::VmsGone => 0.9,
            Self::ColdStarts => 0.6,
            _ => 0.8,
        }
    }

    /// Returns the demand during the strain, as a part of capacity.
    pub(crate) const fn strain_demand(self) -> f64 {
        match self {
            Self::Demand2 | Self::UnequalVms => 2.0,
            Self::Demand5 => 5.0,
            Self::Demand10 => 10.0,
            _ => self.base_demand(),
        }
    }

    /// Returns the factor on one team's demand during the strain.
    pub(crate) const fn team_factor(self, team: usize) -> f64 {
        match (self, team) {
            (Self::GreedyTeam, GREEDY_TEAM) => 8.0,
            _ => 1.0,
        }
    }

    /// Returns the slots of one VM of a service.
    pub(crate) const fn vm_slots(self, instance: usize, usual: u32) -> u32 {
        match (self, instance % 3) {
            (Self::UnequalVms, 0) => usual / 2,
            (Self::UnequalVms, 2) => usual + usual / 2,
            _ => usual,
        }
    }

    /// Returns the time of the strain, in milliseconds.
    pub(crate) const fn strain_ms(self) -> u64 {
        match self {
            Self::SlowService => 30_000,
            Self::SteadyFull => 20_000,
            _ => 10_000,
        }
    }

    /// Returns whether the cause ends, so that recovery can be measured.
    pub(crate) const fn ends(self) -> bool {
        !matches!(
            self,
            Self::SteadyHalf | Self::SteadyFull | Self::FalseReports | Self::VmsGone
        )
    }
}

/// The team that sends more than its rate.
pub(crate) const GREEDY_TEAM: usize = 2;
