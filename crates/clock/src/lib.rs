//! The time type of lentilshift.
//!
//! Code that depends on the time takes the current time as an argument of type [`ClockTime`]. Only
//! the processes read a real clock, so tests and simulations run in virtual time. Durations are
//! plain `u64` values whose names end in `_ms`.

mod clock_time;

pub use clock_time::ClockTime;
