//! Client-side load balancing and outlier ejection.
//!
//! A [`VmRouter`] holds the VMs of one service and chooses one for each request: the better of two
//! picked at random, scored by the caller's own requests in flight and measured latency and by the
//! load reported with answers. Where backend servers state how long work takes on their hosts, the
//! cheapest of a few is chosen by free room and measured speed instead. VMs in the caller's own data centre are preferred. Failing VMs are
//! ejected for a while, but only up to a fixed share of a service.

mod call_profile;
mod room_choice;
mod room_settings;
mod room_state;
mod route_settings;
mod route_target;
mod vm_health;
mod vm_router;
mod vm_state;

pub use room_choice::RouteCall;
pub use room_settings::{RoomRule, RoomSettings};
pub use route_settings::RouteSettings;
pub use route_target::{LoadSample, RouteOutcome, RouteTarget};
pub use vm_router::VmRouter;
