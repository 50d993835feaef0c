//! HTTP adapter for the platform's append-only log.
//!
//! [`HttpLog`] speaks to a log that takes records with `POST /streams/{name}/records` and gives
//! them with `GET /streams/{name}/records?from=N&wait_ms=M`, both as JSON. Only this crate knows
//! that protocol; everything else uses [`streams::PlatformLog`].

mod http_client;
mod http_log;
mod log_message;

pub use http_client::{HttpClient, RawAnswer, SendError};
pub use http_log::{HttpLog, HttpSettings};
pub use log_message::{AppendRequest, GoneReply};
