/// The settings of membership.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// The highest number of repeated announcements of the whole fleet per second.
    pub max_refreshes_per_s: u64,
    /// The shortest interval between repeated announcements of a node, in milliseconds.
    pub min_refresh_ms: u64,
    /// The number of refresh intervals for which an announcement is valid.
    pub valid_refreshes: u64,
    /// The time for which a VM with a failed link counts as suspect, in milliseconds.
    pub suspect_ms: u64,
    /// The longest interval between two reads of the stream that counts towards expiry, in
    /// milliseconds.
    pub max_step_ms: u64,
}

impl MemberSettings {
    /// Returns the interval between announcements, in milliseconds.
    #[must_use]
    pub fn refresh_ms(&self, members: usize) -> u64 {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        let paced_ms = members.saturating_mul(1_000) / self.max_refreshes_per_s.max(1);
        paced_ms.max(self.min_refresh_ms)
    }

    /// Returns the time for which an announcement is valid, in milliseconds.
    #[must_use]
    pub fn valid_ms(&self, members: usize) -> u64 {
        self.refresh_ms(members)
            .saturating_mul(self.valid_refreshes)
    }
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            max_refreshes_per_s: 5,
            min_refresh_ms: 10_000,
            valid_refreshes: 3,
            suspect_ms: 5_000,
            max_step_ms: 2_000,
        }
    }
}
