//! Choice of VM, health and ramps.
