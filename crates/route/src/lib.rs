//! Choice of VM and health.
//!
//! A [`VmRouter`] knows the VMs of one service and chooses one for each request: the better of
//! two picked at random, by the caller's own observations first and by the load reported on
//! answers second. VMs in the caller's own data centre come first; failing ones are ejected for a
//! while, but never most of a service.

mod route_settings;
mod route_target;
mod vm_health;
mod vm_router;
mod vm_state;

pub use route_settings::RouteSettings;
pub use route_target::{LoadSample, RouteOutcome, RouteTarget};
pub use vm_router::VmRouter;
