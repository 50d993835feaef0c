//! Team rate and burst summed over all VMs.
