use std::collections::BTreeMap;

use model::CallName;

/// The weight of one answer in the moving averages of a kind of call.
const PROFILE_GAIN: f64 = 0.02;
/// The bounds of one run time relative to the mean of its kind of call.
const RATIO_BOUNDS: (f64, f64) = (0.1, 5.0);

/// What a node has measured of one kind of call, over all VMs of the service.
#[derive(Clone, Copy, Debug)]
struct CallProfile {
    run_ms: f64,
    answer_bytes: f64,
}

/// The profiles of the calls of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallProfiles {
    by_call: BTreeMap<CallName, CallProfile>,
}

impl CallProfiles {
    pub(crate) const fn new() -> Self {
        Self {
            by_call: BTreeMap::new(),
        }
    }

    /// Records a run, and returns its time relative to the mean of its kind of call.
    pub(crate) fn record(&mut self, call: &CallName, run_ms: u32, answer_bytes: u64) -> f64 {
        let run_ms = f64::from(run_ms).max(0.5);
        let answer_bytes = f64::from(u32::try_from(answer_bytes).unwrap_or(u32::MAX));
        let Some(profile) = self.by_call.get_mut(call) else {
            let profile = CallProfile {
                run_ms,
                answer_bytes,
            };
            self.by_call.insert(call.clone(), profile);
            return 1.0;
        };
        let (low, high) = RATIO_BOUNDS;
        let ratio = (run_ms / profile.run_ms).clamp(low, high);
        profile.run_ms += PROFILE_GAIN * (run_ms - profile.run_ms);
        profile.answer_bytes += PROFILE_GAIN * (answer_bytes - profile.answer_bytes);
        ratio
    }

    /// Returns the mean size of the answers to a call, in bytes.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of lengths below 2^32"
    )]
    pub(crate) fn answer_bytes(&self, call: &CallName) -> u64 {
        let profile = self.by_call.get(call);
        profile.map_or(0, |profile| profile.answer_bytes as u64)
    }
}
