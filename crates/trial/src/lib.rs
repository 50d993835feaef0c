//! Differential trials of the policy against baselines, in virtual time.
