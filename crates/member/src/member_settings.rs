/// How membership is kept.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// The announcements that the whole fleet repeats each second, at most.
    pub refreshes_per_s: u64,
    /// The shortest time after which an announcement is repeated, in milliseconds.
    pub min_refresh_ms: u64,
    /// The number of refresh times for which an announcement holds.
    pub valid_refreshes: u64,
    /// The time for which a VM with a broken link is passed over, in milliseconds.
    pub suspect_ms: u64,
    /// The longest time between two news of the stream that counts towards a lapse, in
    /// milliseconds.
    pub max_step_ms: u64,
}

impl MemberSettings {
    /// Returns the time after which an announcement is repeated, in milliseconds.
    #[must_use]
    pub fn refresh_ms(&self, members: usize) -> u64 {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        let paced_ms = members.saturating_mul(1_000) / self.refreshes_per_s.max(1);
        paced_ms.max(self.min_refresh_ms)
    }

    /// Returns the time for which an announcement holds, in milliseconds.
    #[must_use]
    pub fn valid_ms(&self, members: usize) -> u64 {
        self.refresh_ms(members)
            .saturating_mul(self.valid_refreshes)
    }
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            refreshes_per_s: 5,
            min_refresh_ms: 10_000,
            valid_refreshes: 3,
            suspect_ms: 5_000,
            max_step_ms: 2_000,
        }
    }
}
