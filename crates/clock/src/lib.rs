//! The clock type of lentilshift.
//!
//! Every decision in the workspace takes the present moment as an argument of type
//! [`ClockTime`]. Nothing but the processes reads a real clock, so tests and trials run in
//! virtual time. Spans of time are plain `u64` values whose names end in `_ms`.

mod clock_time;

pub use clock_time::ClockTime;
